import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const pollMs = 10;

/** Head of a request as clients send it. */
function headOf({
	method = 'GET', host, target, id, deadlineMs, body = '',
}) {
	const length = body.length === 0 && method === 'GET' ? '' : `Content-Length: ${body.length}\r\n`;
	return `${method} ${target} HTTP/1.1\r\nHost: ${host}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n${length}\r\n`;
}

/** A client connection that collects the answers to the requests sent over it, in order. */
export class ClientConnection {
	constructor(machine, installation) {
		this.installation = installation;
		this.answers = [];
		this.pending = [];
		this.buffered = [];
		this.bufferedBytes = 0;
		this.socket = connect({
			host: machine.ip, port: machine.outboundPort, noDelay: true,
		});
		this.socket.on('data', bytes => {
			this.buffered.push(bytes);
			this.bufferedBytes += bytes.length;
			this.parse();
			if (this.pauseMs) {
				this.socket.pause();
				setTimeout(() => {
					this.socket.resume();
				}, this.pauseMs);
			}
		});
		this.socket.on('end', () => {
			this.hasEnded = true;
		});
		this.socket.on('error', error => {
			this.error = error.code;
		});
	}

	async whenConnected() {
		await once(this.socket, 'connect');
	}

	/** Sends a request; its body may be a text or bytes. */
	send(request) {
		this.installation.record('client', `sends ${request.id}`);
		this.pending.push(request.id);
		this.socket.cork();
		this.socket.write(headOf(request));
		if (request.body) {
			this.socket.write(request.body);
		}

		this.socket.uncork();
	}

	/** Whether nothing has arrived without a request, and the node has not closed the connection. */
	get isUsable() {
		return !this.hasEnded && !this.error && this.bufferedBytes === 0 && this.answers.length === 0;
	}

	/** The complete answer to a request; undefined if there is none. */
	answerTo(id) {
		return this.answers.find(answer => answer.id === id);
	}

	/** Reads a piece at a time from now on, with a pause after each. */
	readSlowly(pauseMs) {
		this.pauseMs = pauseMs;
	}

	get receivedBytes() {
		return this.bufferedBytes;
	}

	async whenAnswered(id, timeoutMs) {
		const endMs = performance.now() + timeoutMs;
		while (!this.answerTo(id) && !this.hasEnded && !this.socket.destroyed && performance.now() < endMs) {
			await sleep(pollMs);
		}

		return this.answerTo(id);
	}

	parse() {
		for (;;) {
			if (!this.head) {
				const text = Buffer.concat(this.buffered).toString('latin1', 0, 65_536);
				const end = text.indexOf('\r\n\r\n');
				if (end === -1) {
					return;
				}

				const headers = text.slice(0, end);
				this.head = {
					status: Number(headers.slice(9, 12)),
					lengthBytes: Number(/content-length: (\d+)/i.exec(headers)?.[1] ?? 0),
					closes: /connection: close/i.test(headers),
					headers,
					bytes: end + 4,
				};
			}

			const totalBytes = this.head.bytes + this.head.lengthBytes;
			if (this.bufferedBytes < totalBytes) {
				return;
			}

			const rest = Buffer.concat(this.buffered).subarray(totalBytes);
			this.buffered = [rest];
			this.bufferedBytes = rest.length;
			const id = this.pending.shift();
			this.installation.record('client', `has the answer to ${id}: ${this.head.status}${this.head.closes ? ', connection: close' : ''}`);
			this.answers.push({id, ...this.head});
			this.head = undefined;
		}
	}
}
