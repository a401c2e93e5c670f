import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {call} from './installation.js';

const beatMs = 1500;
const content = Buffer.alloc(16 * 1024 * 1024, 'x');

/** An application upstream beside a node: reports to it, runs requests, signs and echoes. The path says how long a request takes and how long its answer is: `/app/WORK_MS/BYTES`. */
export class Upstream {
	constructor(machine, instanceId, {slots = 81} = {}) {
		this.machine = machine;
		this.instanceId = instanceId;
		this.slots = slots;
		this.seq = 0;
		this.state = 'ready';
		this.born = Date.now();
		this.runs = [];
		this.server = createServer((message, response) => {
			// eslint-disable-next-line promise/prefer-await-to-then
			this.handle(message, response).catch(() => undefined);
		});
	}

	async start() {
		this.server.listen(this.machine.appPort, this.machine.ip);
		await once(this.server, 'listening');
		this.timer = setInterval(() => {
			// eslint-disable-next-line promise/prefer-await-to-then
			this.beat().catch(() => undefined);
		}, beatMs);
		await this.beat();
	}

	/** The body of the next liveness report. */
	nextReport() {
		const {machine} = this;
		this.seq++;
		return JSON.stringify({
			address: `${machine.ip}:${machine.appPort}`,
			born: this.born,
			info: {
				service: machine.service, version: 'v1', zone: machine.zone, slots: this.slots,
			},
			status: {state: this.state, seq: this.seq, coldLeftS: 0},
		});
	}

	async send(report) {
		return call(this.machine.ip, this.machine.controlPort, 'PUT', `/v1/instances/${this.instanceId}`, report);
	}

	async beat() {
		return this.send(this.nextReport());
	}

	/** Announces its departure; returns the status of the answer. */
	async leave() {
		clearInterval(this.timer);
		return call(this.machine.ip, this.machine.controlPort, 'DELETE', `/v1/instances/${this.instanceId}`);
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	async handle(message, response) {
		const id = message.headers['x-request-id'];
		if (message.url === '/health') {
			response.writeHead(this.state === 'ready' ? 200 : 503, {'X-Instance-Id': this.instanceId}).end();
			return;
		}

		if (message.headers['x-expect-instance'] !== undefined && message.headers['x-expect-instance'] !== this.instanceId) {
			response.writeHead(421, {'X-Request-Id': id, 'X-Instance-Id': this.instanceId}).end();
			return;
		}

		message.resume();
		await once(message, 'end');
		const [workMs, bytes] = message.url.split('/').slice(2);
		const {installation, name} = this.machine;
		installation.record('upstream', `${name} runs ${id}`);
		this.runs.push({id, atMs: performance.now()});
		await sleep(Number(workMs));
		installation.record('upstream', `${name} answers ${id}`);
		response.writeHead(200, {'X-Request-Id': id, 'X-Server-Seal': `seal.${id}`, 'Content-Length': bytes});
		response.end(content.subarray(0, Number(bytes)));
	}
}
