import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** The path between the clients and a node, which delays everything by the same time in both directions. */
export class ClientPath {
	constructor(machine, delayMs) {
		this.delayMs = delayMs;
		this.sockets = new Set();
		this.server = createServer({allowHalfOpen: true, noDelay: true}, client => {
			const node = connect({
				host: machine.ip, port: machine.outboundPort, allowHalfOpen: true, noDelay: true,
			});
			this.forward(client, node);
			this.forward(node, client);
		});
	}

	async listen(host) {
		this.server.listen(0, host);
		await once(this.server, 'listening');
		this.ip = host;
		this.outboundPort = this.server.address().port;
	}

	stop() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	forward(from, to) {
		this.sockets.add(from);
		const later = action => {
			setTimeout(() => {
				if (!to.destroyed) {
					action();
				}
			}, this.delayMs);
		};

		from.on('data', bytes => {
			later(() => {
				to.write(bytes);
			});
		});
		from.on('end', () => {
			later(() => {
				to.end();
			});
		});
		from.on('error', () => {
			later(() => {
				to.resetAndDestroy();
			});
		});
		from.on('close', () => {
			this.sockets.delete(from);
			later(() => {
				to.destroySoon();
			});
		});
	}
}
