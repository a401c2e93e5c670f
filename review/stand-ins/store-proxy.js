import {once} from 'node:events';
import {connect, createServer} from 'node:net';

/** The path from the machines to the platform's store. On demand, a device on it loses track of the connections that are idle: they stay open, but nothing passes any more. New connections work. */
export class StoreProxy {
	constructor(storePort) {
		this.links = new Set();
		this.server = createServer({allowHalfOpen: true}, client => {
			const store = connect({host: '127.0.0.1', port: storePort, allowHalfOpen: true});
			const link = {
				client, store, lastByteAtMs: performance.now(), isSilent: false,
			};
			this.links.add(link);
			this.forward(link, client, store);
			this.forward(link, store, client);
		});
	}

	get port() {
		return this.server.address().port;
	}

	async listen() {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	/** Times in milliseconds for which the open connections have been idle. */
	idleTimesMs() {
		const nowMs = performance.now();
		return [...this.links].filter(({isSilent}) => !isSilent).map(({lastByteAtMs}) => nowMs - lastByteAtMs);
	}

	/** Silences the connections that have been idle for this long; returns their number. */
	loseIdle(idleMs) {
		let lost = 0;
		for (const link of this.links) {
			if (!link.isSilent && performance.now() - link.lastByteAtMs >= idleMs) {
				link.isSilent = true;
				lost++;
			}
		}

		return lost;
	}

	stop() {
		this.server.close();
		for (const {client, store} of this.links) {
			client.destroy();
			store.destroy();
		}
	}

	forward(link, from, to) {
		from.on('data', bytes => {
			if (!link.isSilent) {
				link.lastByteAtMs = performance.now();
				to.write(bytes);
			}
		});
		from.on('end', () => {
			if (!link.isSilent) {
				to.end();
			}
		});
		from.on('error', () => {
			if (!link.isSilent) {
				to.destroy();
			}
		});
		from.on('close', () => {
			if (!link.isSilent) {
				this.links.delete(link);
				to.destroy();
			}
		});
	}
}
