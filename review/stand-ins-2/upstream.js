import {Buffer} from 'node:buffer';
import {createServer} from 'node:net';
import {request as httpRequest} from 'node:http';

const beatMs = 1500;

/**
An application upstream. It parses requests itself, so that a case can decide when it reads and when it answers.
`serve` is called with each request when its head has arrived and answers through `answer`.
*/
export class Upstream {
	/** Requests that it began to work on. */
	runs = [];
	seq = 0;
	state = 'ready';
	sockets = new Set();

	constructor({service, id, slots = 20, zone = 'zone-a', born = Date.now(), serve}) {
		Object.assign(this, {
			service, id, slots, zone, born, serve,
		});
		this.server = createServer(socket => {
			this.#accept(socket);
		});
	}

	async listen(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		this.host = host;
		this.port = this.server.address().port;
	}

	/** Sends liveness reports to the control address of its machine, about every `beatS`. */
	startBeats(controlPort) {
		this.controlPort = controlPort;
		this.beat();
		this.beatTimer = setInterval(() => {
			this.beat();
		}, beatMs);
	}

	stopBeats() {
		clearInterval(this.beatTimer);
	}

	async beat() {
		this.seq++;
		return this.sendReport(this.report());
	}

	report() {
		return {
			address: `${this.host}:${this.port}`,
			born: this.born,
			info: {
				service: this.service, version: 'v1', zone: this.zone, slots: this.slots,
			},
			status: {state: this.state, seq: this.seq, coldLeftS: 0},
		};
	}

	async sendReport(report, id = this.id) {
		return this.#call('PUT', JSON.stringify(report), id);
	}

	async depart() {
		this.stopBeats();
		return this.#call('DELETE');
	}

	close() {
		this.stopBeats();
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	async #call(method, body, id = this.id) {
		return new Promise(resolve => {
			const call = httpRequest({
				host: this.host, port: this.controlPort, method, path: `/v1/instances/${id}`, timeout: 1000, headers: {'content-type': 'application/json'},
			}, response => {
				response.resume();
				response.once('end', () => {
					resolve(response.statusCode);
				});
			});
			call.on('timeout', () => {
				call.destroy();
			});
			call.on('error', () => {
				resolve(undefined);
			});
			call.end(body);
		});
	}

	#accept(socket) {
		this.sockets.add(socket);
		let received = Buffer.alloc(0);
		let bodyLeft = 0;
		let current;
		const parse = () => {
			for (;;) {
				if (bodyLeft > 0) {
					const taken = Math.min(bodyLeft, received.length);
					bodyLeft -= taken;
					received = received.subarray(taken);
					if (bodyLeft > 0) {
						return;
					}

					current.resolveBody();
				}

				const end = received.indexOf('\r\n\r\n');
				if (end === -1) {
					return;
				}

				const [first, ...lines] = received.subarray(0, end).toString('latin1').split('\r\n');
				received = received.subarray(end + 4);
				const [method, target] = first.split(' ');
				const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
				bodyLeft = Number(headers['content-length'] ?? 0);
				current = this.#begin(socket, {
					method, target, headers, bodyBytes: bodyLeft,
				});
				if (bodyLeft === 0) {
					current.resolveBody();
				}
			}
		};

		socket.on('data', bytes => {
			received = received.length === 0 ? bytes : Buffer.concat([received, bytes]);
			parse();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.sockets.delete(socket);
		});
	}

	#begin(socket, request) {
		const id = request.headers['x-request-id'];
		const exchange = {
			...request, id, socket, atMs: performance.now(),
		};
		exchange.body = new Promise(resolve => {
			exchange.resolveBody = resolve;
		});
		exchange.answer = ({status = 200, body = `${this.id} ran ${id}`, headers = {}} = {}) => {
			const bytes = Buffer.from(body);
			const lines = Object.entries({
				'X-Request-Id': id, ...(status !== 421 && {'X-Server-Seal': `seal-${id}`}), ...headers, 'Content-Length': bytes.length,
			}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
			if (!socket.destroyed) {
				socket.write(`HTTP/1.1 ${status} Answer\r\n${lines}\r\n`);
				socket.write(bytes);
			}
		};

		const expected = request.headers['x-expect-instance'];
		if (expected !== undefined && expected !== this.id) {
			exchange.answer({status: 421, body: '', headers: {'X-Instance-Id': this.id}});
			return exchange;
		}

		this.runs.push(exchange);
		this.serve(exchange);
		return exchange;
	}
}
