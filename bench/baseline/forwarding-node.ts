import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {buffer, json} from 'node:stream/consumers';
import {Agent, request as sendRequest} from 'undici';
import {Cancellation} from '../../standins/cancellation.js';

type Routes = Readonly<Record<string, readonly string[]>>;

type Reply = {
	readonly status: number;
	readonly body: Uint8Array;
};

/** Attempts of one call at one hop, including the first. */
const maxAttempts = 3;
const attemptTimeoutMs = 1500;
const connectionsPerOrigin = 256;
const hopHeader = 'baseline-hop';
const forwardedHeaders = ['content-type', 'idempotency-key', 'traceparent'];
const minRetriedStatus = 500;

/** Forwards calls to upstreams round-robin and retries failures, as a plain proxy does. */
export class ForwardingNode {
	private readonly agent = new Agent({connections: connectionsPerOrigin});
	private readonly callers = createServer((request, response) => {
		void this.serveCaller(request, response);
	});

	private readonly backend = createServer((request, response) => {
		void this.serveBackend(request, response);
	});

	private routes: Routes = {};
	private backendServerUrl = '';
	private nextUpstreamIndex = 0;

	get callerPort(): number {
		return (this.callers.address() as AddressInfo).port;
	}

	get backendPort(): number {
		return (this.backend.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		this.callers.listen(0, '127.0.0.1');
		this.backend.listen(0, '127.0.0.1');
		await Promise.all([once(this.callers, 'listening'), once(this.backend, 'listening')]);
	}

	private async serveCaller(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/baseline/routes') {
			this.routes = await json(request) as Routes;
			response.end();
			return;
		}

		await this.serve(request, response);
	}

	private async serveBackend(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/announce') {
			const {port} = await json(request) as {port: number};
			this.backendServerUrl = `http://127.0.0.1:${port}`;
			response.end();
			return;
		}

		await this.serve(request, response);
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const leaving = new AbortController();
		response.on('close', () => {
			leaving.abort();
		});
		try {
			const body = await buffer(request);
			const reply = request.headers[hopHeader] === undefined
				? await this.forward(request, body, leaving.signal)
				: await this.exchange(this.backendServerUrl, request, body, leaving.signal);
			response.writeHead(reply.status, {'content-type': 'application/json', 'content-length': reply.body.length});
			response.end(reply.body);
		} catch {
			if (!response.headersSent) {
				response.writeHead(502);
			}

			response.end();
		}
	}

	/** Tries one upstream after another until an attempt succeeds or attempts are exhausted. */
	private async forward(request: IncomingMessage, body: Uint8Array, signal: AbortSignal): Promise<Reply> {
		const upstreams = this.routes[request.url ?? ''] ?? [];
		let reply: Reply = {status: 503, body: new Uint8Array()};
		for (let attempt = 0; attempt < maxAttempts && !signal.aborted; attempt++) {
			const upstream = upstreams[this.nextUpstreamIndex++ % upstreams.length];
			reply = await this.attempt(upstream, request, body, signal);
			if (reply.status < minRetriedStatus) {
				break;
			}
		}

		return reply;
	}

	private async attempt(upstream: string, request: IncomingMessage, body: Uint8Array, signal: AbortSignal): Promise<Reply> {
		const attempt = new Cancellation(attemptTimeoutMs, signal);
		try {
			return await this.exchange(upstream, request, body, attempt.signal, {[hopHeader]: '1'});
		} catch {
			return {status: 504, body: new Uint8Array()};
		} finally {
			attempt.dispose();
		}
	}

	private async exchange(
		url: string,
		request: IncomingMessage,
		body: Uint8Array,
		signal: AbortSignal,
		additionalHeaders: Readonly<Record<string, string>> = {},
	): Promise<Reply> {
		const headers: Record<string, string> = {...additionalHeaders};
		for (const name of forwardedHeaders) {
			const value = request.headers[name];
			if (typeof value === 'string') {
				headers[name] = value;
			}
		}

		const response = await sendRequest(`${url}${request.url ?? ''}`, {
			method: request.method as 'GET', headers, body: body.length > 0 ? body : undefined, dispatcher: this.agent, signal,
		});
		return {status: response.statusCode, body: new Uint8Array(await response.body.arrayBuffer())};
	}
}
