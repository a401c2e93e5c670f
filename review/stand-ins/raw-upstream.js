import {once} from 'node:events';
import {createServer} from 'node:net';
import {call} from './installation.js';

const beatMs = 1500;

/** An application upstream that writes its answers byte by byte as the case says: `answer(id)` returns the text. It serves one request at a time on a connection. */
export class RawUpstream {
	constructor(machine, instanceId, answer) {
		this.machine = machine;
		this.instanceId = instanceId;
		this.answer = answer;
		this.seq = 0;
		this.born = Date.now();
		this.sockets = new Set();
		this.server = createServer({noDelay: true}, socket => {
			this.serve(socket);
		});
	}

	async start() {
		this.server.listen(this.machine.appPort, this.machine.ip);
		await once(this.server, 'listening');
		this.timer = setInterval(() => {
			this.beat();
		}, beatMs);
		await this.beat();
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	async beat() {
		const {machine} = this;
		this.seq++;
		const report = JSON.stringify({
			address: `${machine.ip}:${machine.appPort}`,
			born: this.born,
			info: {
				service: machine.service, version: 'v1', zone: machine.zone, slots: 20,
			},
			status: {state: 'ready', seq: this.seq, coldLeftS: 0},
		});
		try {
			await call(machine.ip, machine.controlPort, 'PUT', `/v1/instances/${this.instanceId}`, report);
		} catch {
			// The next report follows.
		}
	}

	serve(socket) {
		let received = '';
		this.sockets.add(socket);
		socket.on('close', () => {
			this.sockets.delete(socket);
		});
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			received += bytes.toString('latin1');
			for (;;) {
				const headEnd = received.indexOf('\r\n\r\n');
				const head = received.slice(0, Math.max(0, headEnd));
				const end = headEnd + 4 + Number(/content-length: (?<length>\d+)/i.exec(head)?.groups.length ?? 0);
				if (headEnd === -1 || received.length < end) {
					return;
				}

				received = received.slice(end);
				const {id} = /x-request-id: (?<id>\S+)/i.exec(head).groups;
				const instance = /x-expect-instance: (?<instance>\S+)/i.exec(head)?.groups.instance;
				const {installation, name} = this.machine;
				if (instance !== undefined && instance !== this.instanceId) {
					socket.write(`HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: ${this.instanceId}\r\nContent-Length: 0\r\n\r\n`);
					continue;
				}

				installation.record('upstream', `${name} receives ${id}`);
				const text = this.answer(id);
				installation.record('upstream', `${name} writes ${JSON.stringify(text)}`);
				socket.write(text, 'latin1');
			}
		});
	}
}
