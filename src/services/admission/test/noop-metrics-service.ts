import {type MetricsService} from '../../../runtime/metrics/metrics-service.js';

/** Discards all metrics. */
export class NoopMetricsService implements MetricsService {
	count(): void {
		// Discarded.
	}

	record(): void {
		// Discarded.
	}

	snapshot() {
		return {counters: {}, histograms: {}};
	}
}
