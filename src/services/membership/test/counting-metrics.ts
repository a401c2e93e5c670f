import {type MetricsService} from '../../../runtime/metrics/metrics-service.js';

/** Adds up counters by name, regardless of their tags. */
export class CountingMetrics implements MetricsService {
	readonly counters: Record<string, number> = {};

	count(name: string, _tags = {}, by = 1): void {
		this.counters[name] = (this.counters[name] ?? 0) + by;
	}

	record(): void {/* Not needed. */}

	snapshot() {
		return {counters: this.counters, histograms: {}};
	}
}
