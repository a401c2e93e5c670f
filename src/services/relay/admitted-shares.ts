import {AdmittedShare} from './admitted-share.js';

/** For each service, the share of the roots that need it which may enter, by how many of them end late. */
export class AdmittedShares {
	private readonly byService = new Map<string, AdmittedShare>();

	/** Notes the outcome of a root that needed these services and entered at a time of the steady clock. */
	noteOutcome(services: Iterable<string>, isLate: boolean, enteredAtMs: number): void {
		for (const service of services) {
			const known = this.byService.get(service) ?? new AdmittedShare();
			this.byService.set(service, known);
			known.noteOutcome(isLate, enteredAtMs);
		}
	}

	shareOf(service: string): number {
		return this.byService.get(service)?.share ?? 1;
	}
}
