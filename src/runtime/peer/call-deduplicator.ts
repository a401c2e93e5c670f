import {ErrorKind} from '../../base/error-kind.js';
import {type CallOutcome} from './call-outcome.js';
import {estimateSizeBytes} from './estimate-size-bytes.js';

type TrackedCall = {
	readonly outcome: Promise<CallOutcome>;
	readonly controller: AbortController;
	/** Ids of the nodes that still wait for the outcome. */
	readonly waiting: Set<string>;
	expiresAtMs: number;
};

type SettledCall = {
	readonly call: TrackedCall;
	readonly sizeBytes: number;
};

const sweepIntervalMs = 1000;
const maxCalls = 65_536;
const maxOutcomeBytes = 16_777_216;
const evictedOutcome: CallOutcome = {error: {kind: ErrorKind.PeerLost, message: 'the outcome of the call is no longer stored'}};

/** Keeps track of received calls so that duplicates share one invocation; each is kept until no duplicate of it may start. */
export class CallDeduplicator {
	private readonly calls = new Map<string, TrackedCall>();
	private readonly settled = new Map<string, SettledCall>();
	private settledBytes = 0;
	private sweptAtMs = 0;

	/** Whether no further call can be tracked and therefore none may start. */
	get isFull(): boolean {
		this.sweep();
		return this.calls.size >= maxCalls;
	}

	/** Returns the outcome of a call that was received before and adds the sender to those that wait for it. */
	join(key: string, sender: string): Promise<CallOutcome> | undefined {
		const call = this.calls.get(key);
		call?.waiting.add(sender);
		return call?.outcome;
	}

	/** Starts a call that was not received before. */
	async start(key: string, sender: string, expiresAtMs: number, run: (controller: AbortController) => Promise<CallOutcome>): Promise<CallOutcome> {
		const controller = new AbortController();
		const outcome = run(controller);
		const call = {
			outcome, controller, waiting: new Set([sender]), expiresAtMs,
		};
		this.calls.set(key, call);
		void this.settle(key, call);
		return outcome;
	}

	/** Removes a waiting sender and aborts the call if no other one waits. A call that was not received yet will not be invoked. */
	cancel(key: string, sender: string, expiresAtMs: number): void {
		const call = this.calls.get(key);
		if (!call && this.isFull) {
			return;
		}

		if (!call) {
			const error = {kind: ErrorKind.CallerGone, message: 'cancelled before it arrived', started: false};
			void this.start(key, sender, expiresAtMs, async () => ({error}));
			return;
		}

		call.waiting.delete(sender);
		if (call.waiting.size === 0) {
			call.controller.abort();
		}
	}

	abortAll(): void {
		for (const call of this.calls.values()) {
			call.controller.abort();
		}
	}

	private async settle(key: string, call: TrackedCall): Promise<void> {
		const sizeBytes = estimateSizeBytes(await call.outcome);
		this.settled.set(key, {call, sizeBytes});
		this.settledBytes += sizeBytes;
		for (const [oldestKey, oldest] of this.settled) {
			if (this.settledBytes <= maxOutcomeBytes) {
				return;
			}

			this.removeSettled(oldestKey, oldest);
			this.calls.set(oldestKey, {...oldest.call, outcome: Promise.resolve(evictedOutcome)});
		}
	}

	private removeSettled(key: string, settled: SettledCall): void {
		this.settled.delete(key);
		this.settledBytes -= settled.sizeBytes;
	}

	private sweep(): void {
		const nowMs = performance.now();
		if (nowMs - this.sweptAtMs < sweepIntervalMs) {
			return;
		}

		this.sweptAtMs = nowMs;
		for (const [key, call] of this.calls) {
			if (call.expiresAtMs < nowMs) {
				this.calls.delete(key);
				const settled = this.settled.get(key);
				if (settled) {
					this.removeSettled(key, settled);
				}
			}
		}
	}
}
