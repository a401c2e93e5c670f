import {type Dispatcher, Pool} from 'undici';
import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {ErrorKind} from '../../base/error-kind.js';
import {ignoreRejection} from '../../base/ignore-rejection.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';

/** Maximum number of concurrent calls, including waiting watches. */
const maxConnections = 8;
/** A page of a listing holds at most about a megabyte; with base64 encoding and field names it stays below this limit. */
const maxAnswerBytes = 8 * 1024 * 1024;
/** Statuses with which the store refuses a call: it did nothing, and the connection is healthy. */
const refusalStatuses: ReadonlySet<number> = new Set([429, 503]);

type ConnectionSettings = {
	readonly urls: readonly string[];
	/** Silence after which an idempotent call is sent again over a new connection. */
	readonly probeAfterMs: number;
	/** Further silence after which a call is abandoned. */
	readonly abandonAfterMs: number;
};

export type KvRequest = {
	readonly method: Dispatcher.HttpMethod;
	readonly path: string;
	readonly query?: Readonly<Record<string, string | number>>;
	readonly body?: unknown;
};

export type KvAnswer = {
	readonly status: number;
	readonly json: unknown;
};

type CallOptions = {
	/** Whether the call may be sent twice. */
	readonly idempotent: boolean;
	readonly signal?: AbortSignal;
	/** How long the store may deliberately delay the answer (long polling). Such a call is not sent twice: its caller reads the state first. */
	readonly longPollMs?: number;
};

/**
Sends calls to the platform's store, each with a timeout.

If a call gets no answer, later calls use new connections to the next URL: network devices on the path may have lost the state of the other
connections too. Long polls, for which silence is normal, are then aborted.
*/
export class KvConnection implements Disposable {
	readonly onDidChangeReachability: Event<boolean>;
	private readonly reachabilityEmitter = new Emitter<boolean>();
	private urlIndex = 0;
	private pool: Pool;
	/** Aborts the long polls on the connections of `pool`. */
	private longPolls = new AbortController();
	private isReachable = false;
	private isDisposed = false;

	constructor(private readonly settings: ConnectionSettings) {
		this.onDidChangeReachability = this.reachabilityEmitter.event;
		this.pool = this.openPool();
	}

	get reachable(): boolean {
		return this.isReachable;
	}

	/** Returns the answer with any status; throws `store-unavailable` if there is no answer or the store refuses the call. */
	async call(request: KvRequest, options: CallOptions): Promise<KvAnswer> {
		const {probeAfterMs, abandonAfterMs} = this.settings;
		if (options.longPollMs !== undefined) {
			return this.callOnce(request, options.longPollMs + probeAfterMs, options);
		}

		if (!options.idempotent) {
			return this.callOnce(request, probeAfterMs + abandonAfterMs, options);
		}

		try {
			return await this.callOnce(request, probeAfterMs, options);
		} catch (error) {
			const isRefused = error instanceof KumquatlineError && error.started === false;
			if (this.isDisposed || isRefused || options.signal?.aborted === true) {
				throw error;
			}

			return this.callOnce(request, abandonAfterMs, options);
		}
	}

	dispose(): void {
		this.isDisposed = true;
		this.reachabilityEmitter.dispose();
		void ignoreRejection(this.pool.destroy());
	}

	private async callOnce(request: KvRequest, timeoutMs: number, {signal, longPollMs}: CallOptions): Promise<KvAnswer> {
		const {pool, longPolls} = this;
		const timeout = new AbortController();
		const timer = setTimeout(() => {
			timeout.abort();
		}, timeoutMs);
		const cancellation = AbortSignal.any([...(signal ? [signal] : []), ...(longPollMs === undefined ? [] : [longPolls.signal])]);
		try {
			const answer = await this.send(pool, request, AbortSignal.any([cancellation, timeout.signal]));
			if (refusalStatuses.has(answer.status)) {
				throw new KumquatlineError(ErrorKind.StoreUnavailable, `the store refused ${request.path} with status ${answer.status}`, {started: false});
			}

			this.setReachable(true);
			return answer;
		} catch (error) {
			this.handleFailure(pool, error, cancellation.aborted);
			throw this.toError(request.path, error);
		} finally {
			clearTimeout(timer);
		}
	}

	private async send(pool: Pool, {method, path, query, body}: KvRequest, signal: AbortSignal): Promise<KvAnswer> {
		const response = await pool.request({
			method,
			path,
			query,
			...(body !== undefined && {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
			signal,
		});
		const text = await response.body.text();
		return {status: response.statusCode, json: parseJson(text)};
	}

	private handleFailure(pool: Pool, error: unknown, isCancelled: boolean): void {
		if (isCancelled) {
			return;
		}

		this.setReachable(false);
		const isRefused = error instanceof KumquatlineError;
		if (isRefused || this.pool !== pool || this.isDisposed) {
			return;
		}

		this.urlIndex = (this.urlIndex + 1) % this.settings.urls.length;
		this.pool = this.openPool();
		this.longPolls.abort();
		this.longPolls = new AbortController();
		// Calls that still wait on the old connections end by their own timeouts.
		void ignoreRejection(pool.close());
	}

	private openPool(): Pool {
		return new Pool(this.settings.urls[this.urlIndex], {
			connections: maxConnections,
			headersTimeout: 0,
			bodyTimeout: 0,
			maxResponseSize: maxAnswerBytes,
			connect: {timeout: this.settings.probeAfterMs},
		});
	}

	private setReachable(reachable: boolean): void {
		if (this.isReachable !== reachable) {
			this.isReachable = reachable;
			this.reachabilityEmitter.fire(reachable);
		}
	}

	private toError(path: string, cause: unknown): KumquatlineError {
		if (cause instanceof KumquatlineError) {
			return cause;
		}

		const reason = cause instanceof Error ? cause.message : String(cause);
		return new KumquatlineError(ErrorKind.StoreUnavailable, `the store did not answer ${path}: ${reason}`, {cause});
	}
}

/** Parses a body; undefined if it is not JSON, as bodies of refusals need not be. */
function parseJson(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return undefined;
	}
}
