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

/** Flags and environment variables of `kumquatline-node`; a flag takes precedence over its variable. */
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
		description: 'IP address to listen on and to advertise to other nodes',
		defaultValue: () => '127.0.0.1',
	}),
	callerPort: setting('caller-port', {
		type: port,
		description: 'TCP port for callers and operators; 0 picks a free port',
		defaultValue: () => 7080,
	}),
	backendPort: setting('backend-port', {
		type: port,
		description: 'loopback TCP port for this VM\'s backend server; 0 picks a free port',
		defaultValue: () => 7081,
	}),
	peerPort: setting('peer-port', {
		type: port,
		description: 'TCP port for other nodes; 0 picks a free port',
		defaultValue: () => 7082,
	}),
	gossipPort: setting('gossip-port', {
		type: port,
		description: 'UDP port for gossip with other nodes; 0 picks a free port',
		defaultValue: () => 7082,
	}),
	storeUrls: setting('store-urls', {
		type: urlList,
		description: 'base URLs of the key-value store, tried in order',
	}),
	leaseTtlMs: setting('lease-ttl-ms', {
		type: boundedInteger('ms', 2000, 60_000),
		description: 'time to live of the node\'s lease in the store; must be a multiple of 1000',
		defaultValue: () => 10_000,
	}),
	leaseMarginMs: setting('lease-margin-ms', {
		type: boundedInteger('ms', 100, 30_000),
		description: 'how long before the lease can expire the node stops relying on it',
		defaultValue: () => 1000,
	}),
	clockSkewBoundMs: setting('clock-skew-bound-ms', {
		type: boundedInteger('ms', 0, 10_000),
		description: 'maximum difference between the wall clocks of any two VMs',
		defaultValue: () => 250,
	}),
	shutdownTimeoutMs: setting('shutdown-timeout-ms', {
		type: boundedInteger('ms', 0, hourMs),
		description: 'maximum time that a stopping node waits for running work',
		defaultValue: () => 30_000,
	}),
	probeAfterMs: setting('probe-after-ms', {
		type: boundedInteger('ms', 10, 60_000),
		description: 'silence on a connection with outstanding work before it is probed',
		defaultValue: () => 300,
	}),
	abandonAfterMs: setting('abandon-after-ms', {
		type: boundedInteger('ms', 10, 60_000),
		description: 'silence after a probe before the connection is abandoned',
		defaultValue: () => 500,
	}),
	gossipIntervalMs: setting('gossip-interval-ms', {
		type: boundedInteger('ms', 20, 10_000),
		description: 'time between two gossip probes',
		defaultValue: () => 500,
	}),
	seedAddresses: setting('seed-addresses', {
		type: hostPortList,
		description: 'gossip addresses of other nodes, used if the store is unreachable at startup',
		defaultValue: () => [],
	}),
	logLevel: setting('log-level', {
		type: oneOf(['error', 'warn', 'info', 'debug'] as const),
		description: 'minimum level of logged messages',
		defaultValue: () => 'info',
	}),
	statsdAddress: setting('statsd-address', {
		type: hostPort,
		description: 'address of the StatsD server; empty disables StatsD',
		defaultValue: () => '',
	}),
	seed: setting('seed', {
		type: boundedInteger('number', 0, 2_147_483_647),
		description: 'seed of the random number generators; 0 picks a random seed',
		defaultValue: () => 0,
	}),
	checkSettings: flag({long: 'check-settings', description: 'check the settings and exit without opening any port'}),
};
