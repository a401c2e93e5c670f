import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Agent, request as sendRequest} from 'undici';
import {v7 as uuidv7} from 'uuid';
import {Cancellation} from '../cancellation.js';
import {type CallerOperation} from './caller-operation.js';
import {type CallerOptions} from './caller-options.js';
import {RequestOutcome} from './request-outcome.js';
import {type RequestRecord} from './request-record.js';

type Answer = {
	readonly status: number;
	readonly text: string;
};

type AnswerContent = {
	readonly requestId?: string;
	readonly target?: string;
	readonly bodyDigest?: string;
	readonly kind?: string;
};

const connectionsPerNode = 256;

/** Caller for tests: sends seeded random requests at a given rate, retries aggressively until a timeout and records each outcome. */
export class CallerStandIn {
	readonly history: RequestRecord[] = [];
	private readonly agent = new Agent({connections: connectionsPerNode, pipelining: 1});
	private readonly random;

	constructor(private readonly options: CallerOptions) {
		this.random = xoroshiro128plus(options.seed);
	}

	/** Sends the requests of all phases; resolves when the last one has ended. */
	async run(): Promise<readonly RequestRecord[]> {
		const running: Array<Promise<void>> = [];
		let nextAtMs = performance.now();
		for (const {durationMs, ratePerSecond} of this.options.phases) {
			const endAtMs = nextAtMs + durationMs;
			while (nextAtMs < endAtMs && running.length < this.options.maxRequests) {
				await delay(Math.max(0, nextAtMs - performance.now()));
				running.push(this.send());
				nextAtMs += this.drawInterarrivalMs(ratePerSecond);
			}

			nextAtMs = endAtMs;
		}

		await Promise.all(running);
		await this.agent.destroy();
		return this.history;
	}

	/** Sends one request with all its attempts. */
	private async send(): Promise<void> {
		const operation = this.drawOperation();
		const record: RequestRecord = {
			requestId: uuidv7(), operation: operation.name, sentAtMs: Date.now(), endedAtMs: 0, attempts: 0, outcome: RequestOutcome.TimedOut,
		};
		this.history.push(record);
		const requestCancellation = new Cancellation(this.options.patienceMs);
		while (record.attempts < this.options.maxAttempts && !requestCancellation.signal.aborted) {
			await this.attempt(operation, record, requestCancellation.signal);
			if (record.outcome === RequestOutcome.Complete || record.outcome === RequestOutcome.Wrong) {
				break;
			}

			if (record.attempts < this.options.maxAttempts) {
				await wait(this.options.retryDelayMs, requestCancellation.signal);
			}
		}

		requestCancellation.dispose();
		record.endedAtMs = Date.now();
	}

	private async attempt(operation: CallerOperation, record: RequestRecord, requestSignal: AbortSignal): Promise<void> {
		record.attempts++;
		const body = operation.method === 'POST' ? `order of ${record.requestId}` : '';
		const attemptCancellation = new Cancellation(this.options.attemptTimeoutMs, requestSignal);
		const {signal} = attemptCancellation;
		try {
			await delay(this.options.oneWayDelayMs, undefined, {signal});
			const answer = await this.exchange(operation, record.requestId, body, signal);
			await delay(this.options.oneWayDelayMs, undefined, {signal});
			recordOutcome(operation, record, body, answer);
		} catch {
			record.outcome = signal.aborted ? RequestOutcome.TimedOut : RequestOutcome.Failed;
			record.status = undefined;
			record.kind = undefined;
		} finally {
			attemptCancellation.dispose();
		}
	}

	private async exchange(operation: CallerOperation, requestId: string, body: string, signal: AbortSignal): Promise<Answer> {
		const {nodeUrls, patienceMs} = this.options;
		const nodeUrl = nodeUrls[Math.floor(uniformFloat64(this.random) * nodeUrls.length)];
		const response = await sendRequest(`${nodeUrl}${operation.path}`, {
			method: operation.method,
			headers: {
				'idempotency-key': requestId,
				'kumquatline-caller': operation.caller,
				traceparent: `00-${requestId.replaceAll('-', '')}-0000000000000001-01`,
				'kumquatline-timeout-ms': String(patienceMs),
			},
			body: body === '' ? undefined : body,
			dispatcher: this.agent,
			signal,
		});
		return {status: response.statusCode, text: await response.body.text()};
	}

	private drawOperation(): CallerOperation {
		const {operations} = this.options;
		let totalWeight = 0;
		for (const {weight} of operations) {
			totalWeight += weight;
		}

		let remainingWeight = uniformFloat64(this.random) * totalWeight;
		for (const operation of operations) {
			remainingWeight -= operation.weight;
			if (remainingWeight < 0) {
				return operation;
			}
		}

		return operations[0];
	}

	/** Returns the time until the next request of a Poisson process. */
	private drawInterarrivalMs(ratePerSecond: number): number {
		return -Math.log(1 - uniformFloat64(this.random)) * 1000 / ratePerSecond;
	}
}

/** Records the outcome of a request according to its answer. */
function recordOutcome(operation: CallerOperation, record: RequestRecord, body: string, answer: Answer): void {
	const content = parse(answer.text);
	record.status = answer.status;
	record.kind = content?.kind;
	if (answer.status !== 200) {
		record.outcome = answer.status === 503 ? RequestOutcome.Refused : RequestOutcome.Failed;
		return;
	}

	const bodyDigest = createHash('sha256').update(body).digest('hex');
	const isExpected = content?.target === operation.path && content.bodyDigest === bodyDigest;
	record.outcome = isExpected ? RequestOutcome.Complete : RequestOutcome.Wrong;
}

function parse(text: string): AnswerContent | undefined {
	try {
		return JSON.parse(text) as AnswerContent;
	} catch {
		return undefined;
	}
}

async function wait(timeMs: number, signal: AbortSignal): Promise<void> {
	try {
		await delay(timeMs, undefined, {signal});
	} catch {
		// The patience ended.
	}
}
