import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {text} from 'node:stream/consumers';

/** The platform's metadata store: keys with revisions, watches and leases, as PROTOCOL.md describes them. Runs on loopback. */
export class Store {
	revision = 100;
	items = new Map();
	events = [];
	leases = new Map();
	watches = new Set();
	nextLease = 7000;
	server = createServer((request, response) => {
		this.#handle(request, response);
	});
	timer = setInterval(() => {
		this.#expireLeases();
	}, 100);

	async listen(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		const {address, port} = this.server.address();
		this.address = `${address}:${port}`;
	}

	/** Writes a key without a lease, as the operator does; returns the revision, which is the confirmation. */
	put(key, value, lease = 0) {
		this.revision++;
		const created = this.items.get(key)?.created ?? this.revision;
		this.items.set(key, {
			key, value: Buffer.from(value).toString('base64'), rev: this.revision, created, lease,
		});
		this.#record(this.items.get(key));
		return this.revision;
	}

	close() {
		clearInterval(this.timer);
		this.server.close();
		this.server.closeAllConnections();
	}

	#delete(key) {
		if (this.items.delete(key)) {
			this.revision++;
			this.#record({key, rev: this.revision, deleted: true});
		}
	}

	#record(event) {
		this.events.push(event);
		for (const watch of this.watches) {
			this.#answerWatch(watch);
		}
	}

	#eventsSince({prefix, after}) {
		return this.events.filter(event => event.rev > after && event.key.startsWith(prefix));
	}

	#answerWatch(watch) {
		const events = this.#eventsSince(watch);
		if (events.length > 0) {
			this.watches.delete(watch);
			clearTimeout(watch.timer);
			reply(watch.response, 200, {events, at: this.revision});
		}
	}

	#watch(url, response) {
		const watch = {prefix: url.searchParams.get('prefix') ?? '', after: Number(url.searchParams.get('after')), response};
		watch.timer = setTimeout(() => {
			this.watches.delete(watch);
			reply(response, 200, {events: [], at: this.revision});
		}, Number(url.searchParams.get('maxWaitMs') ?? 0));
		response.once('close', () => {
			this.watches.delete(watch);
			clearTimeout(watch.timer);
		});
		this.watches.add(watch);
		this.#answerWatch(watch);
	}

	#range(url) {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		const items = [...this.items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((a, b) => (a.key < b.key ? -1 : 1));
		return {items: items.slice(0, 500), hasMore: items.length > 500, at: this.revision};
	}

	#transact({expected = [], writes = [], deletes = []}) {
		if ([...writes.map(({key}) => key), ...deletes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			return [403];
		}

		if (writes.some(({lease = 0}) => lease !== 0 && !this.leases.has(String(lease)))) {
			return [404];
		}

		if (expected.some(({key, rev}) => (this.items.get(key)?.rev ?? 0) !== rev)) {
			return [412, {items: expected.map(({key}) => this.items.get(key)).filter(Boolean)}];
		}

		for (const {key, value, lease = 0} of writes) {
			this.put(key, Buffer.from(value, 'base64'), lease);
		}

		for (const key of deletes) {
			this.#delete(key);
		}

		return [200, {rev: this.revision}];
	}

	#grant({ttlS}) {
		this.nextLease++;
		this.leases.set(String(this.nextLease), {ttlS, endsAtMs: performance.now() + (ttlS * 1000)});
		return {lease: this.nextLease, ttlS};
	}

	#keep(id) {
		const lease = this.leases.get(id);
		if (!lease) {
			return [404];
		}

		lease.endsAtMs = performance.now() + (lease.ttlS * 1000);
		return [200, {ttlS: lease.ttlS}];
	}

	#endLease(id) {
		if (!this.leases.delete(id)) {
			return [404];
		}

		for (const {key, lease} of this.items.values()) {
			if (String(lease) === id) {
				this.#delete(key);
			}
		}

		return [200, {}];
	}

	#expireLeases() {
		for (const [id, {endsAtMs}] of this.leases) {
			if (endsAtMs < performance.now()) {
				this.#endLease(id);
			}
		}
	}

	async #handle(request, response) {
		const url = new URL(request.url, 'http://store');
		const body = await text(request);
		const [call, id] = url.pathname.split('/').slice(2);
		switch (call) {
			case 'kv-watch': {
				this.#watch(url, response);
				break;
			}

			case 'kv-key': {
				const item = this.items.get(url.searchParams.get('key'));
				reply(response, item ? 200 : 404, item && {...item, at: this.revision});
				break;
			}

			case 'kv-range': {
				reply(response, 200, this.#range(url));
				break;
			}

			case 'kv-txn': {
				reply(response, ...this.#transact(JSON.parse(body)));
				break;
			}

			case 'kv-lease': {
				reply(response, 200, this.#grant(JSON.parse(body)));
				break;
			}

			case 'kv-keep': {
				reply(response, ...this.#keep(id));
				break;
			}

			case 'kv-lease-end': {
				reply(response, ...this.#endLease(id));
				break;
			}

			default: {
				reply(response, 404);
			}
		}
	}
}

function reply(response, status, body = {}) {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(body));
}
