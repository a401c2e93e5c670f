import {createInterface} from 'node:readline';
import {Client} from 'undici';
import {type z} from 'zod';
import {Deferred} from '../../base/deferred.js';
import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {ignoreRejection} from '../../base/ignore-rejection.js';
import {etcdMessages} from './etcd-messages.js';

type WatchEvents = z.infer<typeof etcdMessages.watch>['result']['events'];

type WatchTarget = {
	/** Bounds of the watched keys, base64. */
	readonly key: string;
	readonly range_end: string;
};

/** One watch of the etcd gateway on a connection of its own: a stream of JSON objects, one a line. */
export class EtcdWatchStream implements Disposable {
	readonly onDidReceive: Event<WatchEvents>;
	/** Counts what the store has delivered, to tell a silent watch. */
	receivedCount = 0;
	private readonly receiveEmitter = new Emitter<WatchEvents>();
	private readonly client: Client;
	private readonly created = new Deferred<void>();
	private readonly ended = new Deferred<never>();

	constructor(url: string, private readonly target: WatchTarget, private readonly startRevision: number) {
		this.onDidReceive = this.receiveEmitter.event;
		this.client = new Client(url, {headersTimeout: 0, bodyTimeout: 0});
		// Both may fail before anyone waits for them.
		void ignoreRejection(this.ended.promise);
		void ignoreRejection(this.created.promise);
	}

	/** Rejects when the watch has broken. */
	get closed(): Promise<never> {
		return this.ended.promise;
	}

	/** Resolves once the store has confirmed the watch. */
	async open(timeoutMs: number): Promise<void> {
		void this.receive();
		const timer = setTimeout(() => {
			this.fail(new Error('the store did not confirm a watch'));
		}, timeoutMs);
		try {
			await this.created.promise;
		} finally {
			clearTimeout(timer);
		}
	}

	dispose(): void {
		this.receiveEmitter.dispose();
		this.fail(new Error('the watch was closed'));
	}

	private async receive(): Promise<void> {
		const request = {create_request: {...this.target, start_revision: String(this.startRevision)}};
		try {
			const response = await this.client.request({
				path: '/v3/watch', method: 'POST', body: JSON.stringify(request), headers: {'content-type': 'application/json'},
			});
			for await (const line of createInterface({input: response.body})) {
				this.take(line);
			}

			this.fail(new Error('the store ended a watch'));
		} catch (error) {
			this.fail(error as Error);
		}
	}

	private take(line: string): void {
		const {result} = etcdMessages.watch.parse(JSON.parse(line));
		if (result.canceled) {
			throw new Error('the store cancelled a watch');
		}

		this.receivedCount++;
		if (result.created) {
			this.created.resolve();
		}

		this.receiveEmitter.fire(result.events);
	}

	private fail(error: Error): void {
		this.created.reject(error);
		this.ended.reject(error);
		void ignoreRejection(this.client.destroy());
	}
}
