import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import test from 'ava';
import {testSettings} from '../../peer/test/peer-fixture.js';
import {FixedSettingsService} from '../../settings/fixed-settings-service.js';
import {StatsdMetricsService} from '../statsd-metrics-service.js';

const createMetrics = (statsdAddress = '') => new StatsdMetricsService(new FixedSettingsService({...testSettings('node'), statsdAddress}));

test('counters and percentiles are kept by name and tags', t => {
	const metrics = createMetrics();
	metrics.count('requests', {caller: 'foreman', operation: 'book'});
	metrics.count('requests', {caller: 'foreman', operation: 'book'}, 2);
	for (let valueMs = 1; valueMs <= 100; valueMs++) {
		metrics.record('latency', valueMs);
	}

	const {counters, histograms} = metrics.snapshot();
	t.is(counters['requests{caller=foreman,operation=book}'], 3);
	t.like(histograms.latency, {count: 100});
	t.true(Math.abs(histograms.latency.p99Ms - 99) < 1);
	metrics.dispose();
});

test('an unlimited number of tag values takes limited memory', t => {
	const metrics = createMetrics();
	for (let index = 0; index < 5000; index++) {
		metrics.count('requests', {caller: `caller-${index}`});
		metrics.record('latency', 1, {caller: `caller-${index}`});
	}

	const {counters, histograms} = metrics.snapshot();
	t.true(Object.keys(counters).length < 1000);
	t.true(Object.keys(histograms).length < 1000);
	t.true(counters['requests{overflow=true}'] > 4000);
	metrics.dispose();
});

test('values are sent to StatsD if an address is set', async t => {
	const collector = createSocket('udp4');
	collector.bind(0, '127.0.0.1');
	await once(collector, 'listening');
	const metrics = createMetrics(`127.0.0.1:${collector.address().port}`);
	metrics.count('requests', {caller: 'foreman'});
	metrics.dispose();
	const [datagram] = await once(collector, 'message') as [Uint8Array];
	t.is(new TextDecoder().decode(datagram).trim(), 'kumquatline.requests:1|c|#caller:foreman');
	collector.close();
});
