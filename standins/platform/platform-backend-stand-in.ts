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
	/** Another boot than the one that is there. */
	readonly instanceId?: string;
};

/** A request as the backend server has run it. */
export type PlatformRun = {
	readonly id: string;
	readonly method: string;
	readonly url: string;
	readonly caller: string;
	readonly body: string;
	readonly deadlineMs: number;
};

/** Stand-in for a backend server on the platform: echoes ids, signs, refuses what is meant for another boot, and reports itself. */
export class PlatformBackendStandIn implements Disposable {
	readonly runs: PlatformRun[] = [];
	/** Requests that it still refuses without running them. */
	refusals = 0;
	/** Most requests that were at work at one moment. */
	peakRunning = 0;
	/** Requests that were meant for another boot. */
	misdirected = 0;
	/** Requests whose connection was closed before they were answered. */
	gone = 0;
	/** Time that each run takes. */
	workMs = 0;
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

	/** Reports itself at a node's control port; returns the status of the answer. */
	async report(controlPort: number, {state = 'ready', seq, born = 1000, slots = 10, instanceId = this.instanceId}: Report): Promise<number> {
		return this.send(controlPort, 'PUT', JSON.stringify({
			address: `127.0.0.1:${this.port}`, born, info: {
				service: this.service, version: 'v1', zone: 'z', slots,
			}, status: {state, seq, coldLeftS: 0},
		}), instanceId);
	}

	/** Says that it leaves. */
	async leave(controlPort: number): Promise<number> {
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

		if (this.refusals > 0) {
			this.refusals--;
			response.writeHead(503, {'X-Not-Run': '1'}).end();
			return;
		}

		response.once('close', () => {
			this.gone += response.writableFinished ? 0 : 1;
		});
		const body = await buffer(message);
		this.runs.push({
			id,
			method: message.method!,
			url: message.url!,
			caller: String(message.headers['x-caller']),
			body: body.toString(),
			deadlineMs: Number(message.headers['x-deadline-ms']),
		});
		this.running++;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		await sleep(this.workMs);
		this.running--;
		response.writeHead(200, {'X-Server-Seal': `seal-${id}`});
		response.end(`${this.service} ran ${id}`);
	}
}
