import {Client} from 'undici';
import {percentileOf} from './percentile-of.js';

/** One way to the backend server, with the latencies that were measured over it. */
export class LatencyPath {
	private readonly client: Client;
	private latenciesMs: number[] = [];

	constructor(readonly name: string, url: string) {
		this.client = new Client(url);
	}

	/** Sends one request and waits for the whole answer; returns its latency in milliseconds. */
	async measure(method: 'GET' | 'POST', path: string, key: string): Promise<number> {
		const startedAtMs = performance.now();
		const {statusCode, body} = await this.client.request({
			method, path, ...(method === 'POST' && booking(key)),
		});
		const answer = await body.text();
		const latencyMs = performance.now() - startedAtMs;
		if (statusCode !== 200) {
			throw new Error(`${this.name} answered ${statusCode}: ${answer}`);
		}

		this.latenciesMs.push(latencyMs);
		return latencyMs;
	}

	/** Forgets what was measured while the programs warmed up. */
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

function booking(key: string) {
	return {headers: {'idempotency-key': key, 'content-type': 'application/json'}, body: '{"panels":12}'};
}
