import {once} from 'node:events';
import {
	createServer, type IncomingMessage, request, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {buffer} from 'node:stream/consumers';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Disposable} from '../../src/base/disposable.js';

type Report = {
	readonly state?: 'ready' | 'draining';
	readonly seq: number;
	readonly born?: number;
	readonly slots?: number;
	/** Id to report instead of the running instance's own. */
	readonly instanceId?: string;
};

/** A request that the backend server has executed. */
export type PlatformExecution = {
	readonly id: string;
	readonly method: string;
	readonly url: string;
	readonly caller: string;
	readonly body: string;
	readonly deadlineMs: number;
};

/** Stand-in for a backend server on the platform: echoes ids, signs answers, refuses requests for another instance and sends reports. */
export class PlatformBackendStandIn implements Disposable {
	readonly executions: PlatformExecution[] = [];
	/** Number of requests to shed from now on. */
	remainingSheds = 0;
	/** Maximum number of requests that were executed at once. */
	peakRunning = 0;
	/** Number of requests for another instance. */
	misdirected = 0;
	/** Number of requests whose connection was closed before they were answered. */
	disconnects = 0;
	/** Time that each execution takes. */
	executionMs = 0;
	/** Bytes that the body of each answer has at least. */
	answerBytes = 0;
	/** Requests per second that the answers state as the limit; undefined for none. */
	statedLimit: number | undefined;
	/** Whether the answers state that the backend server leaves. */
	isLeaving = false;
	private running = 0;
	private readonly server = createServer((message, response) => {
		void this.handle(message, response);
	});

	constructor(readonly service: string, readonly instanceId: string) {}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	/** Sends a report to a node's control port; returns the status of the answer. */
	async report(controlPort: number, {state = 'ready', seq, born = 1000, slots = 10, instanceId = this.instanceId}: Report): Promise<number> {
		return this.send(controlPort, 'PUT', JSON.stringify({
			address: `127.0.0.1:${this.port}`, born, info: {
				service: this.service, version: 'v1', zone: 'z', slots,
			}, status: {state, seq, coldLeftS: 0},
		}), instanceId);
	}

	/** Reports its departure; returns the status of the answer. */
	async depart(controlPort: number): Promise<number> {
		return this.send(controlPort, 'DELETE', '');
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async send(port: number, method: string, body: string, instanceId = this.instanceId): Promise<number> {
		const sent = request({
			host: '127.0.0.1', port, method, path: `/v1/instances/${instanceId}`,
		});
		sent.end(body);
		const [response] = await once(sent, 'response') as [IncomingMessage];
		response.resume();
		return response.statusCode!;
	}

	private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const id = String(message.headers['x-request-id']);
		response.setHeader('X-Request-Id', id);
		if (message.headers['x-expect-instance'] !== this.instanceId) {
			this.misdirected++;
			response.writeHead(421, {'X-Instance-Id': this.instanceId}).end();
			return;
		}

		if (this.remainingSheds > 0) {
			this.remainingSheds--;
			response.writeHead(503, {'X-Not-Run': '1'}).end();
			return;
		}

		response.once('close', () => {
			this.disconnects += response.writableFinished ? 0 : 1;
		});
		const body = await buffer(message);
		this.executions.push({
			id,
			method: message.method!,
			url: message.url!,
			caller: String(message.headers['x-caller']),
			body: body.toString(),
			deadlineMs: Number(message.headers['x-deadline-ms']),
		});
		this.running++;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		await sleep(this.executionMs);
		this.running--;
		response.writeHead(200, {
			'X-Server-Seal': `seal-${id}`,
			...(this.statedLimit !== undefined && {'Server-Limit': this.statedLimit}),
			...(this.isLeaving && {'Server-Leaving': '1'}),
		});
		response.end(`${this.service} ran ${id}`.padEnd(this.answerBytes, '.'));
	}
}
