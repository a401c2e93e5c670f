import {type MetricsService} from '../../../runtime/metrics/metrics-service.js';

/** Discards all metrics. */
export class NoopMetricsService implements MetricsService {
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
