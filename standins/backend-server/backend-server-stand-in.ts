import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {setTimeout as delay} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Agent, request as sendRequest} from 'undici';
import {type z} from 'zod';
import {Emitter} from '../../src/base/emitter.js';
import {Cancellation} from '../cancellation.js';
import {backendServerFaults} from './backend-server-faults.js';
import {type BackendServerOptions} from './backend-server-options.js';
import {type ExecutionRecord} from './execution-record.js';
import {SlotQueue} from './slot-queue.js';

type Faults = z.infer<typeof backendServerFaults>;
type State = 'serving' | 'draining' | 'stopped';

const announceIntervalMs = 2000;
const announceTimeoutMs = 1000;
/** For this long a departing backend server still accepts requests that are already on their way. */
const drainNoticeMs = 500;
const drainPollMs = 20;
/** Factor on self times during the cold start. */
const coldStartFactor = 4;
/** Number of requests that may wait for a slot; further ones are shed. */
const maxWaitingRequests = 256;
/** Self times are distributed uniformly around the mean, by at most this fraction of it. */
const selfTimeSpread = 0.5;

/** Backend server for tests, with slots, cold start, drain, shedding, cancellation, deadlines and a health endpoint that can report the opposite. */
export class BackendServerStandIn {
	readonly history: ExecutionRecord[] = [];
	/** Fired when an execution starts and again when it has ended. */
	readonly onDidRecord;
	private readonly recordEmitter = new Emitter<ExecutionRecord>();
	private running = 0;
	private readonly server: Server;
	private readonly agent = new Agent({connections: 64});
	private readonly slots: SlotQueue;
	private readonly random;
	private faults: Faults = backendServerFaults.parse({});
	private state: State = 'serving';
	private startedAtMs = 0;
	private announceTimer: NodeJS.Timeout | undefined;

	constructor(private readonly options: BackendServerOptions) {
		this.onDidRecord = this.recordEmitter.event;
		this.random = xoroshiro128plus(options.seed);
		this.slots = new SlotQueue(options.slots, maxWaitingRequests);
		this.server = createServer((request, response) => {
			void this.handle(request, response);
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	/** Opens the port, sends the first announcement and starts the periodic ones. */
	async start(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.startedAtMs = Date.now();
		await this.announce();
		this.announceTimer = setInterval(() => {
			void this.announce();
		}, announceIntervalMs);
	}

	setFaults(faults: z.input<typeof backendServerFaults>): void {
		this.faults = backendServerFaults.parse(faults);
	}

	/** Announces that the backend server accepts no new requests. */
	async drain(): Promise<void> {
		this.state = 'draining';
		await this.announce();
	}

	/** Drains, waits for the running executions and stops. */
	async depart(): Promise<void> {
		await this.drain();
		const startedAtMs = Date.now();
		while (Date.now() - startedAtMs < drainNoticeMs || this.running > 0) {
			await delay(drainPollMs);
		}

		await this.stop();
	}

	async stop(): Promise<void> {
		this.state = 'stopped';
		clearInterval(this.announceTimer);
		await this.announce();
		this.server.close();
		this.server.closeAllConnections();
		await this.agent.destroy();
	}

	private async announce(): Promise<void> {
		const {nodeBackendUrl, service, announcedSlots, connections} = this.options;
		if (!nodeBackendUrl) {
			return;
		}

		try {
			const {body} = await sendRequest(`${nodeBackendUrl}/announce`, {
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					service, port: this.port, slots: announcedSlots, connections, state: this.state,
				}),
				dispatcher: this.agent,
				signal: AbortSignal.timeout(announceTimeoutMs),
			});
			await body.dump();
		} catch {
			// The node may not be there yet; the next announcement follows.
		}
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		let body;
		try {
			body = await buffer(request);
		} catch {
			return;
		}

		const {url = '/'} = request;
		if (url.startsWith('/stand-in/')) {
			await this.control(url, body, response);
			return;
		}

		if (url === '/health') {
			const healthy = (this.state === 'serving') !== this.faults.healthLies;
			answer(response, healthy ? 200 : 503, {healthy});
			return;
		}

		await this.handleRequest(request, body, response);
	}

	private async control(url: string, body: Uint8Array, response: ServerResponse): Promise<void> {
		switch (url) {
			case '/stand-in/history': {
				answer(response, 200, this.history);
				break;
			}

			case '/stand-in/faults': {
				this.setFaults(JSON.parse(new TextDecoder().decode(body)) as z.input<typeof backendServerFaults>);
				answer(response, 200, this.faults);
				break;
			}

			case '/stand-in/drain': {
				await this.drain();
				answer(response, 200, {state: this.state});
				break;
			}

			default: {
				answer(response, 404, {});
			}
		}
	}

	private async handleRequest(request: IncomingMessage, body: Uint8Array, response: ServerResponse): Promise<void> {
		const shed = this.drawBoolean(this.faults.shedShare);
		if (this.slots.isFull || (shed && !this.faults.shedAfterBegin)) {
			response.setHeader('kumquatline-started', 'no');
			answer(response, 503, {shed: true});
			return;
		}

		const cancellation = cancelOnClose(request, response);
		const {signal} = cancellation;
		if (!await this.slots.acquire(signal)) {
			cancellation.dispose();
			return;
		}

		const record: ExecutionRecord = {
			requestId: header(request, 'kumquatline-request-id') ?? '',
			traceId: traceId(request),
			method: request.method ?? '',
			target: request.url ?? '',
			startedAtMs: Date.now(),
			ownTimeMs: 0,
		};
		this.history.push(record);
		this.running++;
		this.recordEmitter.fire(record);
		try {
			await this.execute(record, shed, {request, body, response}, signal);
		} catch {
			// Cancelled: the record keeps how far the work got.
		} finally {
			cancellation.dispose();
			this.slots.release();
			record.endedAtMs = Date.now();
			this.running--;
			this.recordEmitter.fire(record);
			if (!response.writableEnded) {
				response.destroy();
			}
		}
	}

	private async execute(
		record: ExecutionRecord,
		shed: boolean,
		{request, body, response}: {request: IncomingMessage; body: Uint8Array; response: ServerResponse},
		signal: AbortSignal,
	): Promise<void> {
		await this.simulateWork(record, signal);
		record.effectAtMs = Date.now();
		const innerCalls = await Promise.all(this.innerCallsOf(record.target).map(async call => this.makeInnerCall(call, request, signal)));
		await delay(this.faults.delayMs, undefined, {signal});

		record.status = this.chooseStatus(shed, innerCalls.map(({status}) => status));
		const {service, availabilityZone} = this.options;
		const content = JSON.stringify({
			service,
			availabilityZone,
			requestId: record.requestId,
			target: record.target,
			bodyDigest: createHash('sha256').update(body).digest('hex'),
			subCalls: innerCalls.map(({answer}) => answer),
		}).padEnd(this.options.answerBytes ?? 0);
		if (this.drawBoolean(this.faults.partialAnswer)) {
			response.writeHead(record.status, {'content-length': content.length});
			response.write(content.slice(0, content.length / 2));
			return;
		}

		response.writeHead(record.status, {'content-type': 'application/json', 'content-length': content.length});
		response.end(content);
	}

	private chooseStatus(shed: boolean, innerCallStatuses: readonly number[]): number {
		if (shed) {
			return 503;
		}

		if (this.drawBoolean(this.faults.failShare)) {
			return 500;
		}

		return innerCallStatuses.every(status => status === 200) ? 200 : 502;
	}

	/** Simulates the request's own work; the self time until a cancellation is recorded as well. */
	private async simulateWork(record: ExecutionRecord, signal: AbortSignal): Promise<void> {
		const isCold = Date.now() - this.startedAtMs < this.options.coldStartMs;
		const spreadFactor = 1 + (selfTimeSpread * ((2 * uniformFloat64(this.random)) - 1));
		const selfTimeMs = this.options.serviceTimeMs * this.faults.slowFactor * spreadFactor * (isCold ? coldStartFactor : 1);
		const workStartedAtMs = performance.now();
		try {
			await delay(selfTimeMs, undefined, {signal});
		} finally {
			record.ownTimeMs = performance.now() - workStartedAtMs;
		}
	}

	/** Inner calls that a request to the target makes. */
	private innerCallsOf(target: string): string[] {
		return this.options.calls
			.filter(call => !call.includes('=') || call.startsWith(`${target}=`))
			.map(call => call.slice(call.indexOf('=') + 1));
	}

	/** Makes an inner call through the node, with the context headers copied verbatim. */
	private async makeInnerCall(call: string, request: IncomingMessage, signal: AbortSignal): Promise<{status: number; answer: unknown}> {
		const [method, path] = call.split(' ', 2);
		const {statusCode, body} = await sendRequest(`${this.options.nodeBackendUrl ?? ''}${path}`, {
			method: method as 'GET',
			headers: innerCallHeaders(request),
			dispatcher: this.agent,
			signal,
		});
		const text = await body.text();
		return {status: statusCode, answer: statusCode === 200 ? JSON.parse(text) as unknown : {status: statusCode, text}};
	}

	private drawBoolean(probability: number): boolean {
		return probability > 0 && uniformFloat64(this.random) < probability;
	}
}

function answer(response: ServerResponse, status: number, content: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(content));
}

function header(request: IncomingMessage, name: string): string | undefined {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Headers that are copied verbatim to inner calls. */
function innerCallHeaders(request: IncomingMessage): Record<string, string> {
	const headers: Record<string, string> = {};
	for (const name of ['kumquatline-context', 'traceparent']) {
		const value = header(request, name);
		if (value !== undefined) {
			headers[name] = value;
		}
	}

	return headers;
}

/** Returns the trace id of the W3C Trace Context header. */
function traceId(request: IncomingMessage): string {
	return header(request, 'traceparent')?.split('-')[1] ?? '';
}

/** Cancelled when the connection closes before the answer is written, or when the remaining time that the node sent has passed. */
function cancelOnClose(request: IncomingMessage, response: ServerResponse): Cancellation {
	const remainingMs = Number(header(request, 'kumquatline-deadline-ms'));
	const cancellation = new Cancellation(remainingMs > 0 ? remainingMs : undefined);
	response.on('close', () => {
		if (!response.writableEnded) {
			cancellation.cancel();
		}
	});
	return cancellation;
}
