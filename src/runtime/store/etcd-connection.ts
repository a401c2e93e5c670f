import {type Dispatcher, Pool} from 'undici';
import {type z} from 'zod';
import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {ErrorKind} from '../../base/error-kind.js';
import {ignoreRejection} from '../../base/ignore-rejection.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {etcdMessages} from './etcd-messages.js';

const maxConnections = 8;
const maxAnswerBytes = 64 * 1024 * 1024;
const leaseNotFoundCode = 5;

type ConnectionSettings = {
	readonly urls: readonly string[];
	/** Silence after which a call that is safe to repeat is sent again, over a new connection. */
	readonly probeAfterMs: number;
	/** Further silence after which any call is given up. */
	readonly abandonAfterMs: number;
};

type CallOptions = {
	/** Whether sending the call twice is as good as sending it once. */
	readonly repeatable: boolean;
	readonly signal?: AbortSignal;
};

/**
Calls to an etcd v3 JSON gateway, each bounded in time.

A call that gets no answer costs its connection, and the calls after it go over new ones: what lies between may have lost track of the others too.
*/
export class EtcdConnection implements Disposable {
	readonly onDidChangeReach: Event<boolean>;
	private readonly reachEmitter = new Emitter<boolean>();
	private urlIndex = 0;
	private pool: Pool;
	private isReachable = false;
	private isDisposed = false;

	constructor(private readonly settings: ConnectionSettings) {
		this.onDidChangeReach = this.reachEmitter.event;
		this.pool = this.openPool();
	}

	get reachable(): boolean {
		return this.isReachable;
	}

	/** Base URL that calls go to now. */
	get url(): string {
		return this.settings.urls[this.urlIndex];
	}

	/** Returns undefined when the lease that the call names does not exist; throws `store-unavailable` without an answer. */
	async call<T extends z.ZodType>(path: string, body: unknown, answerType: T, options: CallOptions): Promise<z.infer<T> | undefined> {
		const {probeAfterMs, abandonAfterMs} = this.settings;
		if (!options.repeatable) {
			return this.attempt(path, body, answerType, probeAfterMs + abandonAfterMs, options.signal);
		}

		try {
			return await this.attempt(path, body, answerType, probeAfterMs, options.signal);
		} catch (error) {
			if (this.isDisposed || options.signal?.aborted === true) {
				throw error;
			}

			return this.attempt(path, body, answerType, abandonAfterMs, options.signal);
		}
	}

	dispose(): void {
		this.isDisposed = true;
		this.reachEmitter.dispose();
		void ignoreRejection(this.pool.destroy());
	}

	private async attempt<T extends z.ZodType>(path: string, body: unknown, answerType: T, timeoutMs: number, signal?: AbortSignal): Promise<z.infer<T> | undefined> {
		const {pool} = this;
		const controller = new AbortController();
		const timer = setTimeout(() => {
			controller.abort();
		}, timeoutMs);
		const bounded = signal ? AbortSignal.any([signal, controller.signal]) : controller.signal;
		try {
			const response = await pool.request({
				path, method: 'POST', body: JSON.stringify(body), headers: {'content-type': 'application/json'}, signal: bounded,
			});
			const answer = await this.read(response, answerType);
			this.noteReach(true);
			return answer;
		} catch (error) {
			if (!signal?.aborted) {
				this.abandon(pool);
			}

			throw this.toError(path, error);
		} finally {
			clearTimeout(timer);
		}
	}

	private async read<T extends z.ZodType>(response: Dispatcher.ResponseData, answerType: T): Promise<z.infer<T> | undefined> {
		const json: unknown = await response.body.json();
		if (response.statusCode === 200) {
			return answerType.parse(json);
		}

		const failure = etcdMessages.failure.parse(json);
		if (failure.code === leaseNotFoundCode) {
			return undefined;
		}

		throw new Error(`status ${response.statusCode}: ${failure.message}`);
	}

	private abandon(pool: Pool): void {
		this.noteReach(false);
		if (this.pool !== pool || this.isDisposed) {
			return;
		}

		this.urlIndex = (this.urlIndex + 1) % this.settings.urls.length;
		this.pool = this.openPool();
		// Calls that still wait on the old connections run into their own time limits.
		void ignoreRejection(pool.close());
	}

	private openPool(): Pool {
		return new Pool(this.url, {
			connections: maxConnections,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxResponseSize: maxAnswerBytes,
			connect: {timeout: this.settings.probeAfterMs},
		});
	}

	private noteReach(reachable: boolean): void {
		if (this.isReachable !== reachable) {
			this.isReachable = reachable;
			this.reachEmitter.fire(reachable);
		}
	}

	private toError(path: string, cause: unknown): KumquatlineError {
		const reason = cause instanceof Error ? cause.message : String(cause);
		return new KumquatlineError(ErrorKind.StoreUnavailable, `the store did not answer ${path}: ${reason}`, {cause});
	}
}
