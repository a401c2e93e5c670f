import {flag, oneOf, option} from 'cmd-ts';
import {boundedInteger} from './bounded-integer.js';
import {hostPort} from './host-port.js';
import {identifier} from './identifier.js';
import {ipAddress} from './ip-address.js';
import {urlList} from './url-list.js';

const port = boundedInteger('port', 0, 65_535);
const hourMs = 3_600_000;

/** Flags and environment variables of `kumquatline-node`; a flag goes before its variable. */
export const settingArguments = {
	nodeId: option({
		long: 'node-id',
		env: 'KUMQUATLINE_NODE_ID',
		type: identifier,
		description: 'name of this node, unique among all nodes',
	}),
	availabilityZone: option({
		long: 'availability-zone',
		env: 'KUMQUATLINE_AVAILABILITY_ZONE',
		type: identifier,
		description: 'availability zone of this VM',
	}),
	region: option({
		long: 'region',
		env: 'KUMQUATLINE_REGION',
		type: identifier,
		description: 'region of this VM',
		defaultValue: () => 'default',
	}),
	address: option({
		long: 'address',
		env: 'KUMQUATLINE_ADDRESS',
		type: ipAddress,
		description: 'address to listen on and to tell the peers',
		defaultValue: () => '127.0.0.1',
	}),
	callerPort: option({
		long: 'caller-port',
		env: 'KUMQUATLINE_CALLER_PORT',
		type: port,
		description: 'TCP port for callers and operators; 0 takes a free one',
		defaultValue: () => 7080,
	}),
	backendPort: option({
		long: 'backend-port',
		env: 'KUMQUATLINE_BACKEND_PORT',
		type: port,
		description: 'loopback TCP port for this VM\'s backend server; 0 takes a free one',
		defaultValue: () => 7081,
	}),
	peerPort: option({
		long: 'peer-port',
		env: 'KUMQUATLINE_PEER_PORT',
		type: port,
		description: 'TCP port for other nodes; 0 takes a free one',
		defaultValue: () => 7082,
	}),
	gossipPort: option({
		long: 'gossip-port',
		env: 'KUMQUATLINE_GOSSIP_PORT',
		type: port,
		description: 'UDP port for other nodes; 0 takes a free one',
		defaultValue: () => 7082,
	}),
	storeUrls: option({
		long: 'store-urls',
		env: 'KUMQUATLINE_STORE_URLS',
		type: urlList,
		description: 'base URLs of the key-value store, tried in turn',
	}),
	leaseTtlMs: option({
		long: 'lease-ttl-ms',
		env: 'KUMQUATLINE_LEASE_TTL_MS',
		type: boundedInteger('ms', 2000, 60_000),
		description: 'time to live of the node\'s lease, in whole seconds',
		defaultValue: () => 10_000,
	}),
	leaseMarginMs: option({
		long: 'lease-margin-ms',
		env: 'KUMQUATLINE_LEASE_MARGIN_MS',
		type: boundedInteger('ms', 100, 30_000),
		description: 'rights under the lease end this much before it may',
		defaultValue: () => 1000,
	}),
	clockSkewBoundMs: option({
		long: 'clock-skew-bound-ms',
		env: 'KUMQUATLINE_CLOCK_SKEW_BOUND_MS',
		type: boundedInteger('ms', 0, 10_000),
		description: 'largest difference between two VMs\' wall clocks',
		defaultValue: () => 250,
	}),
	shutdownTimeoutMs: option({
		long: 'shutdown-timeout-ms',
		env: 'KUMQUATLINE_SHUTDOWN_TIMEOUT_MS',
		type: boundedInteger('ms', 0, hourMs),
		description: 'how long a stopping node waits for running work',
		defaultValue: () => 30_000,
	}),
	probeAfterMs: option({
		long: 'probe-after-ms',
		env: 'KUMQUATLINE_PROBE_AFTER_MS',
		type: boundedInteger('ms', 10, 60_000),
		description: 'silence on a connection with work outstanding before it is probed',
		defaultValue: () => 300,
	}),
	abandonAfterMs: option({
		long: 'abandon-after-ms',
		env: 'KUMQUATLINE_ABANDON_AFTER_MS',
		type: boundedInteger('ms', 10, 60_000),
		description: 'silence after a probe before the connection is given up',
		defaultValue: () => 500,
	}),
	gossipIntervalMs: option({
		long: 'gossip-interval-ms',
		env: 'KUMQUATLINE_GOSSIP_INTERVAL_MS',
		type: boundedInteger('ms', 20, 10_000),
		description: 'time between two gossip probes',
		defaultValue: () => 500,
	}),
	logLevel: option({
		long: 'log-level',
		env: 'KUMQUATLINE_LOG_LEVEL',
		type: oneOf(['error', 'warn', 'info', 'debug']),
		description: 'least level that is logged',
		defaultValue: () => 'info' as const,
	}),
	statsdAddress: option({
		long: 'statsd-address',
		env: 'KUMQUATLINE_STATSD_ADDRESS',
		type: hostPort,
		description: 'StatsD server; empty sends nothing',
		defaultValue: () => '',
	}),
	seed: option({
		long: 'seed',
		env: 'KUMQUATLINE_SEED',
		type: boundedInteger('number', 0, 2_147_483_647),
		description: 'seed of random choices; 0 takes one from the operating system',
		defaultValue: () => 0,
	}),
	checkSettings: flag({long: 'check-settings', description: 'check the settings and end, opening no port'}),
};
