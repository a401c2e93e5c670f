import {createHash, randomUUID} from 'node:crypto';
import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {type WireError} from '../../base/wire-error.js';
import {type SettingsService} from '../../platform/settings/settings-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {type UpstreamService} from '../calls/upstream-service.js';
import {type PolicyService} from '../policy/policy-service.js';
import {CallRun} from './call-run.js';
import {EntryState} from './entry-state.js';
import {type HeldShard} from './held-shard.js';
import {IdempotencyTable} from './idempotency-table.js';
import {type IdempotencyEntry} from './idempotency-entry.js';
import {mintedAtMs} from './minted-at-ms.js';
import {type OwnReply} from './own-reply.js';

/**
Decides about the ids that this node owns: whether an attempt runs, joins a run, or is told what became of the id.

Every answer that an id was not run is recorded first, so that older attempts which arrive later do not run either.
*/
export class RequestOwner {
	readonly entries = new IdempotencyTable();

	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
		private readonly upstreams: UpstreamService,
	) {}

	/** Settles an attempt; `notOwner` when the right is missing and nothing was started. */
	async own(shard: HeldShard, request: CallRequest, signal: AbortSignal): Promise<OwnReply> {
		this.evict();
		const entry = this.entries.get(shard.key, request.requestId);
		if (entry && entry.fingerprint !== fingerprintOf(request)) {
			return refusal(ErrorKind.KeyReused, 'the id belongs to another request', Execution.Unknown);
		}

		if (entry) {
			this.entries.touch(entry);
		}

		const run = entry?.run;
		if (run) {
			return await run.join(signal) ?? leftReply;
		}

		switch (entry?.state) {
			case EntryState.Completed: {
				return entry.answer ? {answer: entry.answer} : completedReply;
			}

			case EntryState.Unknown: {
				return unknownReply();
			}

			case EntryState.Accepted:
			case EntryState.Dispatched:
			case EntryState.Refused:
			case undefined: {
				return this.begin(shard, request, entry, signal);
			}
		}
	}

	/** Runs an id that has not run, unless something speaks against it. */
	private async begin(shard: HeldShard, request: CallRequest, refused: IdempotencyEntry | undefined, signal: AbortSignal): Promise<OwnReply> {
		if (!shard.mayAct()) {
			return {notOwner: true};
		}

		const entry = refused ?? newEntry(shard, request);
		if (!refused && !this.entries.add(entry)) {
			return refusal(ErrorKind.Overloaded, 'the owner of the id has no room for it', Execution.Unknown);
		}

		if (!refused && shard.mayHaveRun(request.requestId)) {
			entry.state = EntryState.Unknown;
			return unknownReply();
		}

		if (this.isExpired(request.requestId)) {
			this.entries.delete(entry);
			return refusal(ErrorKind.KeyExpired, 'the id is older than the retry horizon', Execution.Unknown);
		}

		const objection = this.objection(request, entry);
		if (objection) {
			return this.refuse(entry, objection);
		}

		const queued = new AbortController();
		const run = new CallRun(() => {
			// What was sent may have started, and started work that is not idempotent is not cut short.
			if (entry.state === EntryState.Accepted) {
				queued.abort();
			}
		});
		entry.run = run;
		entry.state = EntryState.Accepted;
		const reply = run.join(signal);
		void this.execute(shard, entry, request, queued.signal);
		return await reply ?? leftReply;
	}

	/** Why an attempt may not run an id that did not run before; undefined when it may. */
	private objection(request: CallRequest, entry: IdempotencyEntry): KumquatlineError | undefined {
		const nowMs = Date.now();
		const {clockSkewBoundMs} = this.settings.settings;
		const {enteredAtMs, deadlineAtMs} = request.context;
		if (entry.refusedAtMs !== undefined && enteredAtMs <= entry.refusedAtMs + clockSkewBoundMs) {
			return new KumquatlineError(ErrorKind.StaleAttempt, 'the attempt is older than a refusal of its id', {retryAfterMs: 2 * clockSkewBoundMs});
		}

		if ((mintedAtMs(request.requestId) ?? 0) > nowMs + clockSkewBoundMs) {
			return new KumquatlineError(ErrorKind.KeyExpired, 'the id is from the future');
		}

		if (nowMs >= deadlineAtMs) {
			return new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline had passed at the owner of the id');
		}

		return undefined;
	}

	/** Whether the table may have forgotten a time-ordered id because of its age. */
	private isExpired(requestId: string): boolean {
		const minted = mintedAtMs(requestId);
		return minted !== undefined && minted < Date.now() - this.policy.current.retryHorizonMs;
	}

	private async execute(shard: HeldShard, entry: IdempotencyEntry, request: CallRequest, signal: AbortSignal): Promise<void> {
		const {run} = entry;
		const onWillSend = () => {
			this.assertMaySend(shard, request);
			entry.state = EntryState.Dispatched;
		};

		let reply: OwnReply;
		try {
			const answer = await this.upstreams.execute(request, {callId: randomUUID(), exclude: new Set(), onWillSend}, signal);
			this.entries.complete(entry, answer);
			reply = {answer};
		} catch (error) {
			reply = this.settleFailure(shard, entry, toWireError(error));
		}

		entry.run = undefined;
		this.entries.touch(entry);
		run?.settle(reply);
	}

	/** Checks the right and the time in the tick in which the bytes leave. */
	private assertMaySend(shard: HeldShard, request: CallRequest): void {
		if (!shard.mayAct()) {
			throw new KumquatlineError(ErrorKind.NotOwner, 'the right to the id was lost before the call was sent', {started: false});
		}

		if (Date.now() >= request.context.deadlineAtMs) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the call was sent', {started: false});
		}
	}

	private settleFailure(shard: HeldShard, entry: IdempotencyEntry, failure: WireError): OwnReply {
		const certainlyNotStarted = entry.state === EntryState.Accepted || failure.started === false;
		if (!certainlyNotStarted) {
			entry.state = EntryState.Unknown;
			return unknownReply(failure);
		}

		if (shard.mayAct()) {
			return this.refuse(entry, failure);
		}

		// Another owner may decide otherwise by now, so that this node can't say that the id does not run.
		this.forget(entry);
		return {notOwner: true};
	}

	/** Takes an attempt that started nothing back. */
	private forget(entry: IdempotencyEntry): void {
		entry.state = EntryState.Refused;
		if (entry.refusedAtMs === undefined) {
			this.entries.delete(entry);
		}
	}

	private refuse(entry: IdempotencyEntry, cause: WireError): OwnReply {
		entry.state = EntryState.Refused;
		entry.refusedAtMs = Date.now();
		return refusal(cause.kind, cause.message, Execution.NotRun, cause.retryAfterMs);
	}

	private evict(): void {
		const {clockSkewBoundMs} = this.settings.settings;
		this.entries.evictSeenBefore(Date.now() - this.policy.current.retryHorizonMs - (2 * clockSkewBoundMs));
	}
}

const leftReply: OwnReply = {
	failure: {kind: ErrorKind.CallerGone, message: 'the attempt ended while the id was running', execution: Execution.Unknown},
};

const completedReply: OwnReply = {
	failure: {
		kind: ErrorKind.OutcomeUnknown, message: 'the call was completed but its answer is no longer kept', execution: Execution.Completed, started: false,
	},
};

function unknownReply(cause?: WireError): OwnReply {
	const message = cause ? `it may have run: ${cause.message}` : 'it may have run before';
	return {
		failure: {
			kind: ErrorKind.OutcomeUnknown, message, execution: Execution.Unknown, started: cause ? cause.started : false,
		},
	};
}

function refusal(kind: ErrorKind, message: string, execution: Execution, retryAfterMs?: number): OwnReply {
	return {
		failure: {
			kind, message, execution, started: false, retryAfterMs,
		},
	};
}

function newEntry(shard: HeldShard, request: CallRequest): IdempotencyEntry {
	return {
		requestId: request.requestId,
		shardKey: shard.key,
		fingerprint: fingerprintOf(request),
		state: EntryState.Refused,
		lastSeenAtMs: Date.now(),
	};
}

function fingerprintOf(request: CallRequest): string {
	const {context, operation, method, target, bodyBase64} = request;
	return createHash('sha256').update(JSON.stringify([context.caller, operation, method, target, bodyBase64])).digest('base64url');
}
