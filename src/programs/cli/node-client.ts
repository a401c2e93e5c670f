import {request} from 'undici';
import {CliError} from './cli-error.js';
import {ExitStatus} from './exit-status.js';
import {exitStatusOf} from './exit-status-of.js';
import {problem} from './problem.js';

type Exchange = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
};

/** Client of the operators' endpoints of one node; every failure is a `CliError`. */
export class NodeClient {
	constructor(private readonly baseUrl: string, private readonly timeoutMs: number) {}

	async get(path: string): Promise<unknown> {
		return this.exchange({method: 'GET', path}, ExitStatus.Unavailable);
	}

	/** Sends a POST request that changes nothing. */
	async check(path: string, body: unknown): Promise<unknown> {
		return this.exchange({method: 'POST', path, body}, ExitStatus.Unavailable);
	}

	/** Sends a change; its outcome is unknown if there is no answer. */
	async change(path: string, body: unknown): Promise<unknown> {
		return this.exchange({method: 'POST', path, body}, ExitStatus.OutcomeUnknown);
	}

	private async exchange({method, path, body}: Exchange, noAnswerStatus: ExitStatus): Promise<unknown> {
		let statusCode: number;
		let answer: unknown;
		try {
			const response = await request(new URL(path, this.baseUrl), {
				method,
				body: body === undefined ? null : JSON.stringify(body),
				headers: {'content-type': 'application/json'},
				signal: AbortSignal.timeout(Math.max(1, Math.round(this.timeoutMs))),
			});
			statusCode = response.statusCode;
			answer = await response.body.json();
		} catch (error) {
			throw this.noAnswerError(error as NodeJS.ErrnoException, noAnswerStatus);
		}

		if (statusCode === 200) {
			return answer;
		}

		const failure = problem.safeParse(answer);
		if (!failure.success) {
			throw new CliError(ExitStatus.Failed, `${this.baseUrl} answered with status ${statusCode}`);
		}

		throw new CliError(exitStatusOf(failure.data), failure.data.detail, failure.data.kind);
	}

	private noAnswerError(error: NodeJS.ErrnoException, noAnswerStatus: ExitStatus): CliError {
		const status = error.code === 'ECONNREFUSED' ? ExitStatus.Unavailable : noAnswerStatus;
		return new CliError(status, `no answer from ${this.baseUrl}: ${error.message}`);
	}
}
