import {type MetricsService} from '../../../runtime/metrics/metrics-service.js';

/** Discards all metrics. */
export class SilentMetricsService implements MetricsService {
	count(): void {
		// Thrown away.
	}

	record(): void {
		// Thrown away.
	}

	snapshot() {
		return {counters: {}, histograms: {}};
	}
}
