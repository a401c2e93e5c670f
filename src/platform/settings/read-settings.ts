import {readFileSync} from 'node:fs';
import {parse} from 'smol-toml';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type NodeSettings} from '../../runtime/settings/node-settings.js';
import {type RelaySettings} from '../../runtime/settings/relay-settings.js';
import {describeIssues} from '../../services/policy/describe-issues.js';
import {settingsDocument} from './settings-document.js';

export type PlatformSettings = {
	readonly node: NodeSettings;
	readonly relay: RelaySettings;
};

const msPerSecond = 1000;
/** Long enough that slow answers of the store don't end the lease, short enough that the registration of a lost node expires within seconds. */
const leaseTtlMs = 6000;
const leaseMarginMs = 500;
/** Clocks of VMs may differ by seconds; this only matters for decisions that depend on wall clocks. */
const clockSkewBoundMs = 3000;
/** Longer than the slowest answers of a slow store, about 350 ms. */
const probeAfterMs = 600;
const abandonAfterMs = 800;
const gossipIntervalMs = 500;
/** Fraction of the grace period in which running work may finish. */
const shutdownFraction = 0.9;
/** Port of the metrics endpoint. The same number is in the deploy file, which has no placeholder for it. */
const metricsPort = 9464;

/** Reads the platform's settings file; throws `setting-invalid` with a message that names every invalid field. */
export function readSettings(path: string): PlatformSettings {
	const parsed = settingsDocument.safeParse(parseFile(path));
	if (!parsed.success) {
		throw new KumquatlineError(ErrorKind.SettingInvalid, `${path}:\n${describeIssues(parsed.error).join('\n')}`);
	}

	const document = parsed.data;
	const bounds = readBounds(document.bounds);
	const [outboundHost, outboundPort] = splitAddress(document.listen.outbound);
	const [readyHost, readyPort] = splitAddress(document.listen.ready);
	const [controlHost, controlPort] = splitAddress(document.listen.control);
	const [backendHost, backendPort] = splitAddress(document.appAddr);
	const [firstPort] = document.portRange;
	const graceMs = (bounds.get('graceS') ?? 6) * msPerSecond;
	return {
		node: {
			nodeId: document.node,
			address: document.ip,
			availabilityZone: document.zone,
			region: document.region,
			callerPort: outboundPort,
			backendPort,
			peerPort: firstPort,
			gossipPort: firstPort,
			storeUrls: [`http://${document.platform.address}`],
			leaseTtlMs: Math.max(leaseTtlMs, document.platform.minTtlS * msPerSecond),
			leaseMarginMs,
			clockSkewBoundMs,
			shutdownTimeoutMs: graceMs * shutdownFraction,
			probeAfterMs,
			abandonAfterMs,
			gossipIntervalMs,
			// All VMs use the same ports.
			seedAddresses: document.seedAddrs.map(seed => `${splitAddress(seed)[0]}:${firstPort}`),
			logLevel: 'info',
			statsdAddress: '',
			seed: 0,
		},
		relay: {
			service: document.service,
			backendHost,
			backendPort,
			outboundHost,
			outboundPort,
			readyHost,
			readyPort,
			controlHost,
			controlPort,
			metricsPort,
			retryRatio: bounds.get('retryRatio') ?? 0.2,
			retryWindowMs: (bounds.get('retryWindowS') ?? 10) * msPerSecond,
			retrySlack: bounds.get('retrySlack') ?? 0,
			policyInForceMs: (bounds.get('configS') ?? 2) * msPerSecond,
			graceMs,
			announceIntervalMs: document.beatS * msPerSecond,
		},
	};
}

function parseFile(path: string): unknown {
	try {
		return parse(readFileSync(path, 'utf8'));
	} catch (error) {
		throw new KumquatlineError(ErrorKind.SettingInvalid, `${path}: ${(error as Error).message}`, {cause: error});
	}
}

/** Parses `name=value` pairs; values that are not numbers are ignored. */
function readBounds(bounds: readonly string[]): ReadonlyMap<string, number> {
	const pairs = bounds.map(bound => bound.split('=')).map(([name, value]) => [name, Number(value)] as const);
	return new Map(pairs.filter(([, value]) => Number.isFinite(value)));
}

function splitAddress(address: string): readonly [host: string, port: number] {
	const separator = address.lastIndexOf(':');
	return [address.slice(0, separator), Number(address.slice(separator + 1))];
}
