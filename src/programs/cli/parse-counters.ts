import {type CounterSeries} from './counter-series.js';

/** Parses the keys of counters, `name{tag=value,…}`. */
export function parseCounters(counters: Readonly<Record<string, number>>): CounterSeries[] {
	return Object.entries(counters).map(([key, value]) => {
		const [name = '', tagText = ''] = key.replace(/\}$/v, '').split('{', 2);
		const tags = new Map(tagText.split(',').filter(Boolean).map((pair): [string, string] => {
			const separator = pair.indexOf('=');
			return [pair.slice(0, separator), pair.slice(separator + 1)];
		}));
		return {name, tags, value};
	});
}
