import {type Clock} from '@sinonjs/fake-timers';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {sleep} from '../../../base/sleep.js';
import {Importance} from '../../policy/importance.js';
import {type AdmissionService} from '../admission-service.js';
import {makeContext} from './make-context.js';

export type SimulatedRequest = {
	readonly importance: Importance;
	readonly enteredAtMs: number;
	endedAtMs?: number;
	/** `run` for a request that was executed. */
	outcome?: ErrorKind | 'run';
};

const importances = [Importance.Critical, Importance.High, Importance.Normal, Importance.Normal, ...Array.from({length: 4}, () => Importance.Sheddable)];
const patienceMs = 1000;

/** Sends evenly spaced requests of all importances to admission on a fake clock. */
export class OverloadSimulation {
	readonly requests: SimulatedRequest[] = [];

	constructor(
		private readonly clock: Clock,
		private readonly admission: AdmissionService,
		private readonly serviceTimeMs: number,
	) {}

	async send(ratePerSecond: number, durationMs: number): Promise<void> {
		const gapMs = 1000 / ratePerSecond;
		for (let sentMs = 0; sentMs < durationMs; sentMs += gapMs) {
			void this.request(importances[this.requests.length % importances.length]);
			await this.clock.tickAsync(gapMs);
		}
	}

	/** Fraction of the requests of an importance, sent since a time and ended, that was executed. */
	executedFraction(importance: Importance, sinceMs = 0): number {
		const requests = this.requests.filter(request => request.importance === importance && request.endedAtMs !== undefined && request.enteredAtMs >= sinceMs);
		return requests.filter(({outcome}) => outcome === 'run').length / requests.length;
	}

	private async request(importance: Importance): Promise<void> {
		const enteredAtMs = Date.now();
		const record: SimulatedRequest = {importance, enteredAtMs};
		this.requests.push(record);
		const context = makeContext({importance, rootId: `root-${this.requests.length}`, deadlineAtMs: enteredAtMs + patienceMs});
		try {
			await this.admission.run(context, async () => sleep(this.serviceTimeMs), new AbortController().signal);
			record.outcome = 'run';
		} catch (error) {
			record.outcome = error instanceof KumquatlineError ? error.kind : ErrorKind.Internal;
		}

		record.endedAtMs = Date.now();
	}
}
