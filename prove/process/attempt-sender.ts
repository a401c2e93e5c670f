import {createHash} from 'node:crypto';
import {Agent, request} from 'undici';
import {type Execution} from '../../src/base/execution.js';
import {type ProcessGraph} from '../../standins/graph/process-graph.js';
import {EventKind} from '../history/event-kind.js';
import {type History} from '../history/history.js';

const attemptTimeoutMs = 6000;

export type CallerRequest = {
	readonly requestId: string;
	readonly traceId: string;
	readonly path: string;
	/** Undefined for a read. */
	readonly body?: string;
	/** The caller sends no idempotency key; the entry node generates an id. */
	readonly withoutKey?: boolean;
};

/** Sends callers' attempts to nodes and records what callers see. */
export class AttemptSender {
	private readonly agent = new Agent({connections: 32});
	private attempts = 0;

	constructor(private readonly graph: ProcessGraph, private readonly history: History) {}

	/** Sends one attempt and resolves when it ends, with whatever outcome. */
	async send(callerRequest: CallerRequest, nodeId: string): Promise<void> {
		this.attempts++;
		const {requestId, traceId} = callerRequest;
		const attempt = {
			requestId, traceId, nodeId, attemptId: String(this.attempts), mark: digestOf(callerRequest.body ?? ''),
		};
		this.history.record({kind: EventKind.Sent, ...attempt});
		try {
			const {status, answer, digest} = await this.post(callerRequest, nodeId);
			this.history.record({
				kind: EventKind.Answered,
				...attempt,
				status,
				answerMark: answer.bodyDigest,
				answerDigest: digest,
				errorKind: answer.kind,
				execution: answer.execution,
				started: answer.started,
			});
		} catch {
			this.history.record({kind: EventKind.Lost, ...attempt});
		}
	}

	async dispose(): Promise<void> {
		await this.agent.destroy();
	}

	private async post({requestId, traceId, path, body, withoutKey}: CallerRequest, nodeId: string): Promise<{status: number; answer: Answer; digest: string}> {
		const response = await request(`${this.graph.node(nodeId).url}${path}`, {
			method: body === undefined ? 'GET' : 'POST',
			headers: {
				'content-type': 'application/json',
				...(!withoutKey && {'idempotency-key': requestId}),
				traceparent: `00-${traceId}-0000000000000001-01`,
			},
			body: body ?? null,
			dispatcher: this.agent,
			signal: AbortSignal.timeout(attemptTimeoutMs),
		});
		const text = await response.body.text();
		return {status: response.statusCode, answer: JSON.parse(text) as Answer, digest: digestOf(text)};
	}
}

type Answer = {
	readonly bodyDigest?: string;
	readonly kind?: string;
	readonly execution?: Execution;
	readonly started?: boolean;
};

function digestOf(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
