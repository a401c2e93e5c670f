import {type MetricsService} from './metrics-service.js';

const prefix = 'kumquatline_';
const quantiles = [['0.5', 'p50Ms'], ['0.9', 'p90Ms'], ['0.99', 'p99Ms'], ['1', 'maxMs']] as const;

/** Formats counters and histograms in the Prometheus text format; durations are in milliseconds. */
export function formatMetrics({counters, histograms}: ReturnType<MetricsService['snapshot']>): string {
	const lines: string[] = [];
	for (const [key, value] of Object.entries(counters)) {
		const [name, labels] = splitKey(key);
		lines.push(`${name}_total${formatLabels(labels)} ${value}`);
	}

	for (const [key, summary] of Object.entries(histograms)) {
		const [name, labels] = splitKey(key);
		for (const [quantile, field] of quantiles) {
			lines.push(`${name}_ms${formatLabels([...labels, ['quantile', quantile]])} ${summary[field]}`);
		}

		lines.push(`${name}_ms_count${formatLabels(labels)} ${summary.count}`);
	}

	return `${lines.join('\n')}\n`;
}

type Label = readonly [name: string, value: string];

/** Splits the key of a series, `name{tag=value,…}`. */
function splitKey(key: string): readonly [name: string, labels: readonly Label[]] {
	const match = /^(?<name>[^\{]*)(?:\{(?<tags>.*)\})?$/v.exec(key);
	const {name = key, tags} = match?.groups ?? {};
	const labels = (tags ?? '').split(',').filter(tag => tag !== '').map(tag => {
		const separator = tag.indexOf('=');
		return [tag.slice(0, separator), tag.slice(separator + 1)] as const;
	});
	return [prefix + name.replaceAll(/[^\w]/gv, '_'), labels];
}

function formatLabels(labels: readonly Label[]): string {
	return labels.length === 0 ? '' : `{${labels.map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(',')}}`;
}
