import {LatenessThreshold} from './lateness-threshold.js';

/** Refusal thresholds of services by how many of the roots that need them end late, whatever holds them up on their way. */
export class LatenessThresholds {
	private readonly byService = new Map<string, LatenessThreshold>();

	/** Notes how a root ended that needed these services. */
	note(services: Iterable<string>, isLate: boolean): void {
		for (const service of services) {
			const known = this.byService.get(service) ?? new LatenessThreshold();
			this.byService.set(service, known);
			known.note(isLate);
		}
	}

	thresholdOf(service: string): number {
		return this.byService.get(service)?.threshold ?? 0;
	}
}
