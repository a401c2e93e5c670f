import {AdmittedShare} from './admitted-share.js';

/** For each service, the admitted share of the root requests that need it, based on how many of them end late. */
export class AdmittedShares {
	private readonly byService = new Map<string, AdmittedShare>();

	/** Records the outcome of a root request that needed these services and entered at this time of the monotonic clock. */
	recordOutcome(services: Iterable<string>, isLate: boolean, enteredAtMs: number): void {
		for (const service of services) {
			const known = this.byService.get(service) ?? new AdmittedShare();
			this.byService.set(service, known);
			known.recordOutcome(isLate, enteredAtMs);
		}
	}

	shareOf(service: string): number {
		return this.byService.get(service)?.share ?? 1;
	}
}
