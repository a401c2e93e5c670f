import {type EndedExecution} from '../../../src/services/admission/ended-execution.js';
import {type ConcurrencyLimitService} from '../../../src/services/admission/limit-service.js';
import {ExecutionWindow} from './execution-window.js';

type Trial = {
	readonly limitBefore: number;
	readonly selfTimeBeforeMs: number;
};

/** Initial limit of a new backend server, as a fraction of its announced slots. */
const initialFraction = 0.25;
const minInitialLimit = 2;
const growthFactor = 1.5;
const minWindowMs = 250;
const minExecutions = 8;
/** Minimum number of executions in a window, per unit of the limit. */
const executionsPerLimit = 2;
/** Self time above the base by this factor may indicate contention and starts a trial. */
const trialFactor = 1.5;
/** Weight of the newest window in the moving average of the base. */
const baseWeight = 0.2;
/** Self time up to this multiple of the base shows no contention. */
const uncontendedFactor = 1.15;
/** Limit during a trial, as a fraction of the previous limit. */
const trialLimitFraction = 0.7;
/** Self time in a trial, as a fraction of the self time before, below which there was contention. */
const contentionFraction = 0.85;
/** Factor by which the limit exceeds the estimated concurrency, so that the backend server never idles while calls are queued. */
const headroom = 1.25;
/** Factor applied to the limit when the backend server sheds. */
const decreaseFactor = 0.8;
/** Time after a decrease during which the limit does not grow. */
const holdMs = 1000;
/** Sheds within this time count as one. */
const shedWindowMs = 100;

/**
Derives the concurrency limit from self time at different concurrencies (Little's law).

A longer self time alone may mean a slow backend server or too many executions at once. A short trial at a lower limit distinguishes them:
if self time falls with the limit, requests were queued inside the backend server; if it stays, the backend server is slow and the limit is right.
*/
export class LearnedLimitService implements ConcurrencyLimitService {
	private current = 0;
	private maxLimit = 0;
	private port = 0;
	/** Self time without contention, measured at limits up to `baseLimit`. */
	private baseMs = 0;
	private baseLimit = 0;
	private window = new ExecutionWindow();
	private trial: Trial | undefined;
	/** Whether the limit has been too high before; it then grows by one at a time. */
	private isCautious = false;
	/** Time since which the number of running executions has not exceeded the limit. */
	private withinLimitSinceMs = 0;
	private heldUntilMs = 0;
	private shedAtMs = Number.NEGATIVE_INFINITY;

	get limit(): number {
		return this.current;
	}

	setAnnouncedCapacity(slots: number, connections: number, port: number): void {
		this.maxLimit = Math.min(slots, connections);
		if (port === this.port) {
			this.current = Math.min(this.current, this.maxLimit);
			return;
		}

		this.port = port;
		this.current = Math.min(this.maxLimit, Math.max(minInitialLimit, Math.ceil(this.maxLimit * initialFraction)));
		this.baseMs = 0;
		this.baseLimit = 0;
		this.isCautious = false;
		this.trial = undefined;
		this.window = new ExecutionWindow();
	}

	recordExecution(execution: EndedExecution): void {
		if (execution.running > this.current) {
			this.withinLimitSinceMs = performance.now();
		}

		// Executions that started under a higher limit say nothing about the current one.
		if (execution.startedAtMs < this.withinLimitSinceMs) {
			return;
		}

		this.window.record(execution);
		const {length, durationMs} = this.window;
		if (length >= Math.max(minExecutions, executionsPerLimit * this.current) && durationMs >= minWindowMs) {
			this.learn(this.window);
			this.window = new ExecutionWindow();
		}
	}

	recordShed(running: number): void {
		const nowMs = performance.now();
		if (nowMs - this.shedAtMs < shedWindowMs) {
			return;
		}

		this.shedAtMs = nowMs;
		this.trial = undefined;
		this.decreaseTo(Math.min(this.current, running) * decreaseFactor);
	}

	private learn(window: ExecutionWindow): void {
		const {meanSelfTimeMs} = window;
		if (this.trial) {
			this.endTrial(this.trial, meanSelfTimeMs);
			return;
		}

		this.baseMs ||= meanSelfTimeMs;
		if (meanSelfTimeMs > this.baseMs * trialFactor && this.current > 1) {
			this.trial = {limitBefore: this.current, selfTimeBeforeMs: meanSelfTimeMs};
			this.current = Math.min(this.current - 1, Math.round(this.current * trialLimitFraction));
			this.withinLimitSinceMs = performance.now();
			return;
		}

		this.updateBase(meanSelfTimeMs);
		if (window.wasLimited && performance.now() >= this.heldUntilMs) {
			this.grow();
		}
	}

	/** Updates the base with a self time measured at a limit known to be free of contention, or at a higher limit if it shows none. */
	private updateBase(selfTimeMs: number): void {
		if (this.current > this.baseLimit && selfTimeMs > this.baseMs * uncontendedFactor) {
			return;
		}

		this.baseMs += baseWeight * (selfTimeMs - this.baseMs);
		this.baseLimit = Math.max(this.baseLimit, this.current);
	}

	private endTrial({limitBefore, selfTimeBeforeMs}: Trial, selfTimeMs: number): void {
		this.trial = undefined;
		if (selfTimeMs < selfTimeBeforeMs * contentionFraction) {
			this.decreaseTo(limitBefore * this.baseMs / selfTimeBeforeMs * headroom);
			return;
		}

		this.baseMs = selfTimeMs;
		this.baseLimit = limitBefore;
		this.current = Math.min(limitBefore, this.maxLimit);
	}

	private grow(): void {
		const grown = this.isCautious ? this.current + 1 : Math.ceil(this.current * growthFactor);
		this.current = Math.min(grown, this.maxLimit);
	}

	private decreaseTo(limit: number): void {
		this.current = Math.max(1, Math.floor(limit));
		this.isCautious = true;
		this.heldUntilMs = performance.now() + holdMs;
	}
}
