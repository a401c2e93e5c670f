import {createHash, randomUUID} from 'node:crypto';
import {Emitter} from '../../base/emitter.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {type WireError} from '../../base/wire-error.js';
import {type SettingsService} from '../../platform/settings/settings-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type UpstreamService} from '../calls/upstream-service.js';
import {type PolicyService} from '../policy/policy-service.js';
import {type CarriedEntry} from './carried-entry.js';
import {CallRun} from './call-run.js';
import {EntryState} from './entry-state.js';
import {type HeldShard} from './held-shard.js';
import {IdempotencyTable} from './idempotency-table.js';
import {type IdempotencyEntry} from './idempotency-entry.js';
import {mintedAtMs} from './minted-at-ms.js';
import {type OwnReply} from './own-reply.js';
import {type ResolveParams} from './resolve-method.js';
import {type RetryCount} from './retry-count.js';
import {RetryCounts} from './retry-counts.js';

type EndedExecution = {
	readonly entry: IdempotencyEntry;
	readonly state: EntryState;
	readonly answer?: CallAnswer;
	/** Why the execution did not start. */
	readonly failure?: WireError;
};

/** Work that may have begun is not cut short: it runs on to its deadline. */
const neverAborted = new AbortController().signal;
/** Time that the end of an execution may take to be told after its deadline. */
const endGraceMs = 1000;

/**
Decides about the ids that this node owns: whether an attempt runs, joins a run, or is told what became of the id.

Every answer that an id was not run is recorded first, so that older attempts which arrive later do not run either.
*/
export class RequestOwner {
	readonly entries = new IdempotencyTable();
	readonly counts = new RetryCounts();
	/** Tells of an execution that has ended, with the state that it came to. */
	readonly onDidEnd: Event<EndedExecution>;
	private readonly ended = new Emitter<EndedExecution>();
	private readonly executions = new Set<Promise<void>>();

	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
		private readonly upstreams: UpstreamService,
	) {
		this.onDidEnd = this.ended.event;
	}

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

		if (entry?.run && (entry.runEndsAtMs ?? Infinity) < Date.now()) {
			this.end(entry, EntryState.Unknown, unknownReply());
		}

		if (entry?.run) {
			return await entry.run.join(signal) ?? leftReply;
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

	/** What the next owner of a shard has to know of its entries. */
	carry(key: string): readonly CarriedEntry[] {
		return this.entries.ofShard(key).flatMap(entry => {
			if (entry.state !== EntryState.Accepted) {
				return [carriedEntry(entry, entry.state)];
			}

			// Nothing was sent and nothing will be.
			return entry.refusedAtMs === undefined ? [] : [carriedEntry(entry, EntryState.Refused)];
		});
	}

	/** Takes over what a former owner carried; false when there is no room for it. */
	take(key: string, carried: readonly CarriedEntry[], counts: readonly RetryCount[]): boolean {
		const areEntriesTaken = carried.every(entry => this.entries.add({
			...entry,
			shardKey: key,
			run: entry.state === EntryState.Dispatched ? new CallRun(ignoreAbandon) : undefined,
		}));
		return areEntriesTaken && counts.every(count => this.counts.add({...count, shardKey: key}));
	}

	/** Ends an execution that a former owner began, as it tells. */
	resolve(shard: HeldShard, {requestId, callId, state, answer, failure}: ResolveParams): void {
		const entry = this.entries.get(shard.key, requestId);
		if (!entry?.run || entry.callId !== callId) {
			return;
		}

		if (state === EntryState.Completed && answer) {
			this.entries.complete(entry, answer);
			this.end(entry, state, {answer});
		} else if (state === EntryState.Refused && failure) {
			this.endUnstarted(shard, entry, failure);
		} else {
			this.end(entry, EntryState.Unknown, unknownReply());
		}
	}

	/** Drops what is known of a shard that another node owns now. */
	drop(key: string): void {
		this.entries.deleteShard(key);
		this.counts.deleteShard(key);
	}

	/** Resolves when the executions that are running now have ended. */
	async whenIdle(): Promise<void> {
		await Promise.all(this.executions);
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

		const unwanted = new AbortController();
		const run = new CallRun(() => {
			unwanted.abort();
		});
		entry.run = run;
		entry.callId = randomUUID();
		entry.runEndsAtMs = request.context.deadlineAtMs + this.settings.settings.clockSkewBoundMs + endGraceMs;
		entry.state = EntryState.Accepted;
		const reply = run.join(signal);
		const execution = this.execute(shard, entry, request, unwanted.signal);
		this.executions.add(execution);
		void this.forgetExecution(execution);
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

	private async execute(shard: HeldShard, entry: IdempotencyEntry, request: CallRequest, unwanted: AbortSignal): Promise<void> {
		const onWillSend = () => {
			this.assertMaySend(shard, request);
			entry.state = EntryState.Dispatched;
		};

		try {
			const answer = await this.upstreams.execute(request, {
				callId: entry.callId!, exclude: new Set(), onWillSend, unwanted,
			}, neverAborted);
			this.entries.complete(entry, answer);
			this.end(entry, EntryState.Completed, {answer});
		} catch (error) {
			this.endFailed(shard, entry, toWireError(error));
		}
	}

	private async forgetExecution(execution: Promise<void>): Promise<void> {
		await execution;
		this.executions.delete(execution);
	}

	/** Ends an entry's execution and tells all that wait for it. */
	private end(entry: IdempotencyEntry, state: EntryState, reply: OwnReply, failure?: WireError): void {
		const {run} = entry;
		entry.state = state;
		entry.run = undefined;
		entry.runEndsAtMs = undefined;
		this.entries.touch(entry);
		this.ended.fire({
			entry, state, answer: reply.answer, failure,
		});
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

	private endFailed(shard: HeldShard, entry: IdempotencyEntry, failure: WireError): void {
		const certainlyNotStarted = entry.state === EntryState.Accepted || failure.started === false;
		if (certainlyNotStarted) {
			this.endUnstarted(shard, entry, failure);
		} else {
			this.end(entry, EntryState.Unknown, unknownReply(failure));
		}
	}

	/** Another owner may decide otherwise by now: without the right this node can't say that the id does not run. */
	private endUnstarted(shard: HeldShard, entry: IdempotencyEntry, failure: WireError): void {
		if (shard.mayAct()) {
			this.end(entry, EntryState.Refused, this.refuse(entry, failure));
			return;
		}

		if (entry.refusedAtMs === undefined) {
			this.entries.delete(entry);
		}

		this.end(entry, EntryState.Refused, {notOwner: true}, failure);
	}

	private refuse(entry: IdempotencyEntry, cause: WireError): OwnReply {
		entry.state = EntryState.Refused;
		entry.refusedAtMs = Date.now();
		return refusal(cause.kind, cause.message, Execution.NotRun, cause.retryAfterMs);
	}

	private evict(): void {
		const {clockSkewBoundMs} = this.settings.settings;
		const seenBeforeMs = Date.now() - this.policy.current.retryHorizonMs - (2 * clockSkewBoundMs);
		this.entries.evictSeenBefore(seenBeforeMs);
		this.counts.evictSeenBefore(seenBeforeMs);
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

function ignoreAbandon(): void {
	// The former owner runs it on.
}

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

function carriedEntry(entry: IdempotencyEntry, state: EntryState): CarriedEntry {
	const {requestId, fingerprint, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs} = entry;
	return {
		requestId, fingerprint, state, refusedAtMs, answer, lastSeenAtMs, callId, runEndsAtMs,
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
