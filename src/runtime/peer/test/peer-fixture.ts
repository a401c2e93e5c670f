import {v7 as createUuid} from 'uuid';
import {Kernel} from '../../kernel/kernel.js';
import {LogService} from '../../log/log-service.js';
import {MetricsService} from '../../metrics/metrics-service.js';
import {StatsdMetricsService} from '../../metrics/statsd-metrics-service.js';
import {type NodeSettings} from '../../settings/node-settings.js';
import {SettingsService} from '../../settings/settings-service.js';
import {FramedPeerService} from '../framed-peer-service.js';
import {PeerService} from '../peer-service.js';

export const silentLog: LogService = {
	debug() {/* Discarded. */},
	info() {/* Discarded. */},
	warn() {/* Discarded. */},
	error() {/* Discarded. */},
};

/** Settings of a node in tests: loopback address, all ports chosen by the operating system. */
export function testSettings(nodeId: string): NodeSettings {
	return {
		nodeId,
		address: '127.0.0.1',
		availabilityZone: 'zone-a',
		region: 'test',
		callerPort: 0,
		backendPort: 0,
		peerPort: 0,
		gossipPort: 0,
		storeUrls: [],
		leaseTtlMs: 3000,
		leaseMarginMs: 500,
		clockSkewBoundMs: 100,
		shutdownTimeoutMs: 5000,
		probeAfterMs: 100,
		abandonAfterMs: 100,
		gossipIntervalMs: 200,
		seedAddresses: [],
		logLevel: 'error',
		statsdAddress: '',
		seed: 1,
	};
}

type PeerOptions = {
	readonly incarnation?: string;
	readonly peerPort?: number;
	/** Silence after which connections are probed, and again until they are closed; the default is long, so that a busy machine does not count as silent. */
	readonly silenceMs?: number;
};

/** Creates a service kernel whose peer service listens on the loopback address. */
export async function startPeer(nodeId: string, {incarnation = createUuid(), peerPort = 0, silenceMs = 10_000}: PeerOptions = {}) {
	const kernel = new Kernel()
		.registerInstance(SettingsService, {
			settings: {
				...testSettings(nodeId), peerPort, probeAfterMs: silenceMs, abandonAfterMs: silenceMs,
			},
			incarnation,
		})
		.registerInstance(LogService, silentLog)
		.register(MetricsService, StatsdMetricsService)
		.register(PeerService, FramedPeerService);
	const peers = kernel.get(PeerService);
	await peers.listen();
	return {kernel, peers, metrics: kernel.get(MetricsService)};
}
