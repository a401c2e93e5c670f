import {build, type Histogram} from 'hdr-histogram-js';
import {StatsD} from 'hot-shots';
import {type Disposable} from '../../base/disposable.js';
import {SettingsService} from '../settings/settings-service.js';
import {type MetricsService} from './metrics-service.js';

type MetricTags = Readonly<Record<string, string>>;

const maxSeries = 512;
const overflowTags: MetricTags = {overflow: 'true'};
const microsecondsPerMs = 1000;
const maxValueUs = 600_000_000;

/** Sends each value to StatsD if an address is set, and keeps a limited number of series for the status endpoint. */
export class StatsdMetricsService implements MetricsService, Disposable {
	private readonly counters = new Map<string, number>();
	private readonly histograms = new Map<string, Histogram>();
	private client: StatsD | undefined;
	private disposed = false;

	constructor(@SettingsService private readonly settingsService: SettingsService) {}

	count(name: string, tags: MetricTags = {}, by = 1): void {
		const key = boundedKey(this.counters, name, tags);
		this.counters.set(key, (this.counters.get(key) ?? 0) + by);
		this.statsd()?.increment(name, by, {...tags});
	}

	record(name: string, valueMs: number, tags: MetricTags = {}): void {
		const key = boundedKey(this.histograms, name, tags);
		const histogram = this.histograms.get(key) ?? createHistogram();
		this.histograms.set(key, histogram);
		const valueUs = Math.round(Math.max(0, valueMs) * microsecondsPerMs);
		histogram.recordValue(Math.min(valueUs, maxValueUs));
		this.statsd()?.histogram(name, valueMs, {...tags});
	}

	snapshot(): ReturnType<MetricsService['snapshot']> {
		return {
			counters: Object.fromEntries(this.counters),
			histograms: Object.fromEntries([...this.histograms].map(([key, histogram]) => [key, summarize(histogram)])),
		};
	}

	dispose(): void {
		this.disposed = true;
		this.client?.close();
		this.client = undefined;
	}

	private statsd(): StatsD | undefined {
		const {statsdAddress} = this.settingsService.settings;
		if (statsdAddress === '' || this.disposed) {
			return undefined;
		}

		this.client ??= createClient(statsdAddress);
		return this.client;
	}
}

function createClient(statsdAddress: string): StatsD {
	const separator = statsdAddress.lastIndexOf(':');
	return new StatsD({
		host: statsdAddress.slice(0, separator),
		port: Number(statsdAddress.slice(separator + 1)),
		prefix: 'kumquatline.',
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		errorHandler() {/* An unreachable StatsD server must not affect calls. */},
	});
}

function createHistogram(): Histogram {
	return build({
		bitBucketSize: 32,
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxValueUs,
		numberOfSignificantValueDigits: 2,
		useWebAssembly: false,
	});
}

function summarize(histogram: Histogram) {
	const percentileMs = (percentile: number) => histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
	return {
		count: histogram.totalCount,
		p50Ms: percentileMs(50),
		p90Ms: percentileMs(90),
		p99Ms: percentileMs(99),
		maxMs: histogram.maxValue / microsecondsPerMs,
	};
}

/** Key of a series; beyond the limit, further tags of a name are counted in one overflow series. */
function boundedKey(series: ReadonlyMap<string, unknown>, name: string, tags: MetricTags): string {
	const key = seriesKey(name, tags);
	if (series.has(key) || series.size < maxSeries) {
		return key;
	}

	return seriesKey(name, overflowTags);
}

function seriesKey(name: string, tags: MetricTags): string {
	let text = '';
	for (const [tag, value] of Object.entries(tags)) {
		text += `${text === '' ? '' : ','}${tag}=${value}`;
	}

	return text === '' ? name : `${name}{${text}}`;
}
