import {Client} from 'undici';
import {percentileOf} from './percentile-of.js';

/** One path to the backend server, with the latencies measured over it. */
export class LatencyPath {
	private readonly client: Client;
	private latenciesMs: number[] = [];

	constructor(readonly name: string, url: string) {
		this.client = new Client(url);
	}

	/** Sends one request, waits for the complete answer and returns the latency in milliseconds. */
	async measure(method: 'GET' | 'POST', path: string, key: string): Promise<number> {
		const startedAtMs = performance.now();
		const {statusCode, body} = await this.client.request({
			method, path, ...(method === 'POST' && bookingOptions(key)),
		});
		const answer = await body.text();
		const latencyMs = performance.now() - startedAtMs;
		if (statusCode !== 200) {
			throw new Error(`request over path ${this.name} failed with status ${statusCode}: ${answer}`);
		}

		this.latenciesMs.push(latencyMs);
		return latencyMs;
	}

	/** Discards the latencies that were measured during the warm-up. */
	reset(): void {
		this.latenciesMs = [];
	}

	percentileMs(percentile: number): number {
		return percentileOf(this.latenciesMs, percentile);
	}

	async close(): Promise<void> {
		await this.client.close();
	}
}

function bookingOptions(key: string) {
	return {headers: {'idempotency-key': key, 'content-type': 'application/json'}, body: '{"panels":12}'};
}
