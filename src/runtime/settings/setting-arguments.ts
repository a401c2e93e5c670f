import {flag, oneOf} from 'cmd-ts';
import {boundedInteger} from './bounded-integer.js';
import {hostPort} from './host-port.js';
import {hostPortList} from './host-port-list.js';
import {identifier} from './identifier.js';
import {ipAddress} from './ip-address.js';
import {setting} from './setting.js';
import {urlList} from './url-list.js';

const port = boundedInteger('port', 0, 65_535);
const hourMs = 3_600_000;

/** Flags and environment variables of `kumquatline-node`; a flag goes before its variable. */
export const settingArguments = {
	nodeId: setting('node-id', {
		type: identifier,
		description: 'name of this node, unique among all nodes',
	}),
	availabilityZone: setting('availability-zone', {
		type: identifier,
		description: 'availability zone of this VM',
	}),
	region: setting('region', {
		type: identifier,
		description: 'region of this VM',
		defaultValue: () => 'default',
	}),
	address: setting('address', {
		type: ipAddress,
		description: 'address to listen on and to tell the peers',
		defaultValue: () => '127.0.0.1',
	}),
	callerPort: setting('caller-port', {
		type: port,
		description: 'TCP port for callers and operators; 0 takes a free one',
		defaultValue: () => 7080,
	}),
	backendPort: setting('backend-port', {
		type: port,
		description: 'loopback TCP port for this VM\'s backend server; 0 takes a free one',
		defaultValue: () => 7081,
	}),
	peerPort: setting('peer-port', {
		type: port,
		description: 'TCP port for other nodes; 0 takes a free one',
		defaultValue: () => 7082,
	}),
	gossipPort: setting('gossip-port', {
		type: port,
		description: 'UDP port for other nodes; 0 takes a free one',
		defaultValue: () => 7082,
	}),
	storeUrls: setting('store-urls', {
		type: urlList,
		description: 'base URLs of the key-value store, tried in turn',
	}),
	leaseTtlMs: setting('lease-ttl-ms', {
		type: boundedInteger('ms', 2000, 60_000),
		description: 'time to live of the node\'s lease, in whole seconds',
		defaultValue: () => 10_000,
	}),
	leaseMarginMs: setting('lease-margin-ms', {
		type: boundedInteger('ms', 100, 30_000),
		description: 'rights under the lease end this much before it may',
		defaultValue: () => 1000,
	}),
	clockSkewBoundMs: setting('clock-skew-bound-ms', {
		type: boundedInteger('ms', 0, 10_000),
		description: 'largest difference between two VMs\' wall clocks',
		defaultValue: () => 250,
	}),
	shutdownTimeoutMs: setting('shutdown-timeout-ms', {
		type: boundedInteger('ms', 0, hourMs),
		description: 'how long a stopping node waits for running work',
		defaultValue: () => 30_000,
	}),
	probeAfterMs: setting('probe-after-ms', {
		type: boundedInteger('ms', 10, 60_000),
		description: 'silence on a connection with work outstanding before it is probed',
		defaultValue: () => 300,
	}),
	abandonAfterMs: setting('abandon-after-ms', {
		type: boundedInteger('ms', 10, 60_000),
		description: 'silence after a probe before the connection is given up',
		defaultValue: () => 500,
	}),
	gossipIntervalMs: setting('gossip-interval-ms', {
		type: boundedInteger('ms', 20, 10_000),
		description: 'time between two gossip probes',
		defaultValue: () => 500,
	}),
	seedAddresses: setting('seed-addresses', {
		type: hostPortList,
		description: 'gossip addresses of other nodes, used when the store is away at the start',
		defaultValue: () => [],
	}),
	logLevel: setting('log-level', {
		type: oneOf(['error', 'warn', 'info', 'debug'] as const),
		description: 'least level that is logged',
		defaultValue: () => 'info',
	}),
	statsdAddress: setting('statsd-address', {
		type: hostPort,
		description: 'StatsD server; empty sends nothing',
		defaultValue: () => '',
	}),
	seed: setting('seed', {
		type: boundedInteger('number', 0, 2_147_483_647),
		description: 'seed of random choices; 0 takes one from the operating system',
		defaultValue: () => 0,
	}),
	checkSettings: flag({long: 'check-settings', description: 'check the settings and end, opening no port'}),
};
