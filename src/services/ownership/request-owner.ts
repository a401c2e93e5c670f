import {randomUUID} from 'node:crypto';
import {Emitter} from '../../base/emitter.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {Execution} from '../../base/execution.js';
import {toWireError} from '../../base/to-wire-error.js';
import {type WireError} from '../../base/wire-error.js';
import {type SettingsService} from '../../runtime/settings/settings-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type UpstreamService} from '../calls/upstream-service.js';
import {type PolicyService} from '../policy/policy-service.js';
import {AttemptRules} from './attempt-rules.js';
import {type TransferredEntry} from './transferred-entry.js';
import {PendingExecution} from './pending-execution.js';
import {toTransferredEntry} from './to-transferred-entry.js';
import {EntryState} from './entry-state.js';
import {type HeldShard} from './held-shard.js';
import {IdempotencyTable} from './idempotency-table.js';
import {type IdempotencyEntry} from './idempotency-entry.js';
import {fingerprintOf} from './fingerprint-of.js';
import {ownerReplies} from './owner-replies.js';
import {type OwnerReply} from './owner-reply.js';
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

/** An execution that may have started is not aborted; it continues until its deadline. */
const neverAborted = new AbortController().signal;
/** Time after the deadline of an execution within which its outcome may still become known. */
const outcomeGraceMs = 1000;

/**
Decides about the ids that this node owns: an attempt starts an execution, joins the one in progress or gets the outcome of an earlier one.

Every reply that a request was not executed is recorded first, so that older attempts that arrive later are not executed either.
*/
export class RequestOwner {
	readonly entries = new IdempotencyTable();
	readonly counts = new RetryCounts();
	/** Fires when an execution has ended, with the resulting state. */
	readonly onDidEnd: Event<EndedExecution>;
	private readonly ended = new Emitter<EndedExecution>();
	private readonly rules: AttemptRules;
	private readonly executions = new Set<Promise<void>>();

	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
		private readonly upstreams: UpstreamService,
	) {
		this.onDidEnd = this.ended.event;
		this.rules = new AttemptRules(settings, policy);
	}

	/** Processes an attempt; replies `notOwner` if this node is not authoritative and started nothing. */
	async own(shard: HeldShard, request: CallRequest, signal: AbortSignal): Promise<OwnerReply> {
		this.evict();
		const entry = this.entries.get(shard.key, request.requestId);
		if (entry && entry.fingerprint !== fingerprintOf(request)) {
			return ownerReplies.refusal(ErrorKind.KeyReused, 'the request id belongs to another request', Execution.Unknown);
		}

		if (entry) {
			this.entries.touch(entry);
		}

		if (entry?.run && (entry.runEndsAtMs ?? Infinity) < Date.now()) {
			this.end(entry, EntryState.Unknown, ownerReplies.unknown());
		}

		if (entry?.run) {
			return await entry.run.join(signal) ?? ownerReplies.left;
		}

		switch (entry?.state) {
			case EntryState.Completed: {
				return entry.answer ? {answer: entry.answer} : ownerReplies.completed;
			}

			case EntryState.Unknown: {
				return ownerReplies.unknown();
			}

			case EntryState.Accepted:
			case EntryState.Dispatched:
			case EntryState.Refused:
			case undefined: {
				return this.startExecution(shard, request, entry, signal);
			}
		}
	}

	/** State of a shard's entries that its successor needs. */
	exportEntries(key: string): readonly TransferredEntry[] {
		return this.entries.ofShard(key).flatMap(entry => {
			if (entry.state !== EntryState.Accepted) {
				return [toTransferredEntry(entry, entry.state)];
			}

			// Nothing has been sent, and nothing will be sent.
			return entry.refusedAtMs === undefined ? [] : [toTransferredEntry(entry, EntryState.Refused)];
		});
	}

	/** Imports the state that a previous owner transferred; false if there is no free capacity for it. */
	importShard(key: string, transferred: readonly TransferredEntry[], counts: readonly RetryCount[]): boolean {
		const areEntriesAdded = transferred.every(entry => this.entries.add({
			...entry,
			shardKey: key,
			run: entry.state === EntryState.Dispatched ? new PendingExecution(ignoreAbandon) : undefined,
		}));
		return areEntriesAdded && counts.every(count => this.counts.add({...count, shardKey: key}));
	}

	/** Ends an execution that a previous owner started, with the outcome that it sent. */
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
			this.end(entry, EntryState.Unknown, ownerReplies.unknown());
		}
	}

	/** Deletes the state of a shard that another node owns now. */
	drop(key: string): void {
		this.entries.deleteShard(key);
		this.counts.deleteShard(key);
	}

	/** Resolves when the executions currently in progress have ended. */
	async whenIdle(): Promise<void> {
		await Promise.all(this.executions);
	}

	/** Starts the execution of a request that has not been executed, unless there is a reason to refuse it. */
	private async startExecution(shard: HeldShard, request: CallRequest, refused: IdempotencyEntry | undefined, signal: AbortSignal): Promise<OwnerReply> {
		if (!shard.isAuthoritative()) {
			return {notOwner: true};
		}

		const entry = refused ?? newEntry(shard, request);
		if (!refused && !this.entries.add(entry)) {
			return ownerReplies.refusal(ErrorKind.Overloaded, 'the idempotency table of the owner of the request id is full', Execution.Unknown);
		}

		if (!refused && shard.mayHaveExecuted(request.requestId)) {
			entry.state = EntryState.Unknown;
			return ownerReplies.unknown();
		}

		if (this.rules.isExpired(request.requestId)) {
			this.entries.delete(entry);
			return ownerReplies.refusal(ErrorKind.KeyExpired, 'the request id is older than the retry horizon', Execution.Unknown);
		}

		const refusalReason = this.rules.refusalReason(request, entry.refusedAtMs);
		if (refusalReason) {
			return this.refuse(entry, refusalReason);
		}

		const dropSignal = new AbortController();
		const run = new PendingExecution(() => {
			dropSignal.abort();
		});
		entry.run = run;
		entry.callId = randomUUID();
		entry.runEndsAtMs = request.context.deadlineAtMs + this.settings.settings.clockSkewBoundMs + outcomeGraceMs;
		entry.state = EntryState.Accepted;
		const reply = run.join(signal);
		const execution = this.execute(shard, entry, request, dropSignal.signal);
		this.executions.add(execution);
		void this.removeWhenEnded(execution);
		return await reply ?? ownerReplies.left;
	}

	private async execute(shard: HeldShard, entry: IdempotencyEntry, request: CallRequest, dropSignal: AbortSignal): Promise<void> {
		const onWillSend = () => {
			this.rules.assertMaySend(shard, request);
			entry.state = EntryState.Dispatched;
		};

		try {
			const answer = await this.upstreams.execute(request, {
				callId: entry.callId!, exclude: new Set(), onWillSend, dropSignal,
			}, neverAborted);
			this.entries.complete(entry, answer);
			this.end(entry, EntryState.Completed, {answer});
		} catch (error) {
			this.endFailed(shard, entry, toWireError(error));
		}
	}

	private async removeWhenEnded(execution: Promise<void>): Promise<void> {
		await execution;
		this.executions.delete(execution);
	}

	/** Ends an entry's execution and replies to all attempts that wait for it. */
	private end(entry: IdempotencyEntry, state: EntryState, reply: OwnerReply, failure?: WireError): void {
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

	private endFailed(shard: HeldShard, entry: IdempotencyEntry, failure: WireError): void {
		const certainlyNotStarted = entry.state === EntryState.Accepted || failure.started === false;
		if (certainlyNotStarted) {
			this.endUnstarted(shard, entry, failure);
		} else {
			this.end(entry, EntryState.Unknown, ownerReplies.unknown(failure));
		}
	}

	/** Without authority this node can't reply that the request is not executed: another owner may have decided otherwise by now. */
	private endUnstarted(shard: HeldShard, entry: IdempotencyEntry, failure: WireError): void {
		if (shard.isAuthoritative()) {
			this.end(entry, EntryState.Refused, this.refuse(entry, failure));
			return;
		}

		if (entry.refusedAtMs === undefined) {
			this.entries.delete(entry);
		}

		this.end(entry, EntryState.Refused, {notOwner: true}, failure);
	}

	private refuse(entry: IdempotencyEntry, cause: WireError): OwnerReply {
		entry.state = EntryState.Refused;
		entry.refusedAtMs = Date.now();
		return ownerReplies.refusal(cause.kind, cause.message, Execution.NotRun, cause.retryAfterMs);
	}

	private evict(): void {
		const {clockSkewBoundMs} = this.settings.settings;
		const seenBeforeMs = Date.now() - this.policy.current.retryHorizonMs - (2 * clockSkewBoundMs);
		this.entries.evictSeenBefore(seenBeforeMs);
		this.counts.evictSeenBefore(seenBeforeMs);
	}
}

function ignoreAbandon(): void {
	// The previous owner continues the execution.
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
