import test from 'ava';
import {formatMetrics} from '../format-metrics.js';

test('counters and histograms are formatted as lines with labels', t => {
	t.snapshot(formatMetrics({
		counters: {peerSilent: 2, 'relayed{route=r-1,outcome=200}': 7},
		histograms: {
			'request{route=r-1}': {
				count: 7, p50Ms: 1.5, p90Ms: 2, p99Ms: 3, maxMs: 4,
			},
		},
	}));
});
