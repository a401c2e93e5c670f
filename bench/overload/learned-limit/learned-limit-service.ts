import {type EndedExecution} from '../../../src/services/admission/ended-execution.js';
import {type ConcurrencyLimitService} from '../../../src/services/admission/limit-service.js';
import {ExecutionWindow} from './execution-window.js';

type Trial = {
	readonly limitBefore: number;
	readonly ownTimeBeforeMs: number;
};

/** Part of the announced slots that a new backend server begins with. */
const firstShare = 0.25;
const fewestAtFirst = 2;
const growth = 1.5;
const shortestWindowMs = 250;
const fewestExecutions = 8;
/** A window has at least so many executions for each one that may run at once. */
const executionsPerLimit = 2;
/** Own time above the base by this factor is suspect of contention. */
const suspectFactor = 1.5;
/** Weight of one more window in the base. */
const baseWeight = 0.2;
/** Own time above the base by no more than this factor shows no contention. */
const uncontendedFactor = 1.15;
/** Limit of a trial in relation to the one before. */
const trialShare = 0.7;
/** Own time in a trial, in relation to that before, below which there was contention. */
const contentionShare = 0.85;
/** Executions kept above those that the backend server can really run, so that it never waits for work. */
const headroom = 1.25;
/** Part of the limit that is kept when the backend server sheds. */
const keptAfterShed = 0.8;
/** Time after a fall during which the limit does not grow. */
const holdMs = 1000;
/** Time over which sheds count as one. */
const shedSpanMs = 100;

/**
Learns from own time against concurrency (Little's law).

A longer own time alone may mean a slow backend server or too much at once. A short trial at a lower limit tells:
if own time falls with the limit, the work was only queueing inside; if it stays, the backend server is slow and the limit is right.
*/
export class LearnedLimitService implements ConcurrencyLimitService {
	private current = 0;
	private ceiling = 0;
	private port = 0;
	/** Own time without contention, as known at limits up to `baseLimit`. */
	private baseMs = 0;
	private baseLimit = 0;
	private window = new ExecutionWindow();
	private trial: Trial | undefined;
	/** Whether the limit was found too high before, so that it grows by one at a time. */
	private isCautious = false;
	/** Since when no more than the limit was running. */
	private settledAtMs = 0;
	private heldUntilMs = 0;
	private shedAtMs = Number.NEGATIVE_INFINITY;

	get limit(): number {
		return this.current;
	}

	setAnnouncedCapacity(slots: number, connections: number, port: number): void {
		this.ceiling = Math.min(slots, connections);
		if (port === this.port) {
			this.current = Math.min(this.current, this.ceiling);
			return;
		}

		this.port = port;
		this.current = Math.min(this.ceiling, Math.max(fewestAtFirst, Math.ceil(this.ceiling * firstShare)));
		this.baseMs = 0;
		this.baseLimit = 0;
		this.isCautious = false;
		this.trial = undefined;
		this.window = new ExecutionWindow();
	}

	recordExecution(execution: EndedExecution): void {
		if (execution.running > this.current) {
			this.settledAtMs = performance.now();
		}

		// What began under a higher limit says nothing about the present one.
		if (execution.startedAtMs < this.settledAtMs) {
			return;
		}

		this.window.note(execution);
		const {length, durationMs} = this.window;
		if (length >= Math.max(fewestExecutions, executionsPerLimit * this.current) && durationMs >= shortestWindowMs) {
			this.learn(this.window);
			this.window = new ExecutionWindow();
		}
	}

	recordShed(running: number): void {
		const nowMs = performance.now();
		if (nowMs - this.shedAtMs < shedSpanMs) {
			return;
		}

		this.shedAtMs = nowMs;
		this.trial = undefined;
		this.fallTo(Math.min(this.current, running) * keptAfterShed);
	}

	private learn(window: ExecutionWindow): void {
		const {meanOwnTimeMs} = window;
		if (this.trial) {
			this.endTrial(this.trial, meanOwnTimeMs);
			return;
		}

		this.baseMs ||= meanOwnTimeMs;
		if (meanOwnTimeMs > this.baseMs * suspectFactor && this.current > 1) {
			this.trial = {limitBefore: this.current, ownTimeBeforeMs: meanOwnTimeMs};
			this.current = Math.min(this.current - 1, Math.round(this.current * trialShare));
			this.settledAtMs = performance.now();
			return;
		}

		this.updateBase(meanOwnTimeMs);
		if (window.wasFull && performance.now() >= this.heldUntilMs) {
			this.grow();
		}
	}

	/** Follows the own time at limits that are known to be free of contention, or at a higher one that shows none. */
	private updateBase(ownTimeMs: number): void {
		if (this.current > this.baseLimit && ownTimeMs > this.baseMs * uncontendedFactor) {
			return;
		}

		this.baseMs += baseWeight * (ownTimeMs - this.baseMs);
		this.baseLimit = Math.max(this.baseLimit, this.current);
	}

	private endTrial({limitBefore, ownTimeBeforeMs}: Trial, ownTimeMs: number): void {
		this.trial = undefined;
		if (ownTimeMs < ownTimeBeforeMs * contentionShare) {
			this.fallTo(limitBefore * this.baseMs / ownTimeBeforeMs * headroom);
			return;
		}

		this.baseMs = ownTimeMs;
		this.baseLimit = limitBefore;
		this.current = Math.min(limitBefore, this.ceiling);
	}

	private grow(): void {
		const grown = this.isCautious ? this.current + 1 : Math.ceil(this.current * growth);
		this.current = Math.min(grown, this.ceiling);
	}

	private fallTo(limit: number): void {
		this.current = Math.max(1, Math.floor(limit));
		this.isCautious = true;
		this.heldUntilMs = performance.now() + holdMs;
	}
}
