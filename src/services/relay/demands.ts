import {DemandByRank} from './demand-by-rank.js';

/** Recent demand for each service, by rank. */
export class Demands {
	private readonly byService = new Map<string, DemandByRank>();

	get names(): Iterable<string> {
		return this.byService.keys();
	}

	of(service: string): DemandByRank {
		const known = this.byService.get(service) ?? new DemandByRank();
		this.byService.set(service, known);
		return known;
	}
}
