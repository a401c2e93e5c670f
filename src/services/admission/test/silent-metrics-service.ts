import {type MetricsService} from '../../../runtime/metrics/metrics-service.js';

/** Metrics that are thrown away. */
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
