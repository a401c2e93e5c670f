import {connect, createServer} from 'node:net';

/** Bytes under way before the receiver must have taken some. */
const windowBytes = 65_536;

/** The network between clients and a machine: a delay each way, and a window. Ends are passed on, a reset ends the other side too. */
export class ClientPath {
	constructor({host, port}, delayMs) {
		this.server = createServer({allowHalfOpen: true}, client => {
			const node = connect({host, port, allowHalfOpen: true});
			client.setNoDelay(true);
			node.setNoDelay(true);
			carry(client, node, delayMs);
			carry(node, client, delayMs);
		});
	}

	async listen() {
		await new Promise(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
		return this.server.address().port;
	}

	close() {
		this.server.close();
	}
}

function carry(from, to, delayMs) {
	let underWayBytes = 0;
	const later = action => setTimeout(action, delayMs);
	from.on('data', bytes => {
		underWayBytes += bytes.length;
		if (underWayBytes >= windowBytes) {
			from.pause();
		}

		later(() => {
			if (!to.destroyed) {
				to.write(bytes);
			}

			// The acknowledgment takes the way back.
			later(() => {
				underWayBytes -= bytes.length;
				if (underWayBytes < windowBytes) {
					from.resume();
				}
			});
		});
	});
	from.on('end', () => {
		later(() => {
			to.end();
		});
	});
	from.on('error', () => undefined);
	from.on('close', hadError => {
		later(() => {
			if (hadError) {
				to.destroy();
			}
		});
	});
}
