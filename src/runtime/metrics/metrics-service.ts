import {createServiceId} from '../kernel/create-service-id.js';

/** Labels of a metric, such as the operation or the caller class. */
type MetricTags = Readonly<Record<string, string>>;

/** Counters and histograms, sent to StatsD and kept for the status endpoint. */
export interface MetricsService {
	count(name: string, tags?: MetricTags, by?: number): void;
	/** Records a duration in milliseconds. */
	record(name: string, valueMs: number, tags?: MetricTags): void;
	/** Counters and histogram percentiles since the start, by name and tags. */
	snapshot(): MetricsSnapshot;
}

type MetricsSnapshot = {
	readonly counters: Readonly<Record<string, number>>;
	readonly histograms: Readonly<Record<string, {count: number; p50Ms: number; p90Ms: number; p99Ms: number; maxMs: number}>>;
};

export const MetricsService = createServiceId<MetricsService>('metrics');
