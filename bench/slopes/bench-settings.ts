import {type NodeSettings} from '../../src/runtime/settings/node-settings.js';

/** Settings of a node in a benchmark: on loopback, with all ports chosen by the operating system. */
export function benchSettings(nodeId: string, changes: Partial<NodeSettings> = {}): NodeSettings {
	return {
		nodeId,
		address: '127.0.0.1',
		availabilityZone: 'perth-metro-0',
		region: 'perth-metro',
		callerPort: 0,
		backendPort: 0,
		peerPort: 0,
		gossipPort: 0,
		storeUrls: [],
		leaseTtlMs: 10_000,
		leaseMarginMs: 1000,
		clockSkewBoundMs: 250,
		shutdownTimeoutMs: 5000,
		probeAfterMs: 300,
		abandonAfterMs: 500,
		gossipIntervalMs: 500,
		seedAddresses: [],
		logLevel: 'error',
		statsdAddress: '',
		seed: 1,
		...changes,
	};
}
