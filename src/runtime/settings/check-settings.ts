import {type NodeSettings} from './node-settings.js';

const msPerSecond = 1000;

/** Finds conflicts between settings that are valid on their own; returns one message for each. */
export function checkSettings(settings: NodeSettings): string[] {
	const problems: string[] = [];
	if (settings.leaseTtlMs % msPerSecond !== 0) {
		problems.push(`lease-ttl-ms: ${settings.leaseTtlMs} is not a whole number of seconds, the unit of leases in the store`);
	}

	if (settings.leaseMarginMs * 2 > settings.leaseTtlMs) {
		problems.push(`lease-margin-ms: ${settings.leaseMarginMs} is more than half of lease-ttl-ms (${settings.leaseTtlMs})`);
	}

	if (settings.clockSkewBoundMs >= settings.leaseTtlMs) {
		problems.push(`clock-skew-bound-ms: ${settings.clockSkewBoundMs} must be below lease-ttl-ms (${settings.leaseTtlMs})`);
	}

	return [...problems, ...checkPorts(settings)];
}

function checkPorts(settings: NodeSettings): string[] {
	const problems: string[] = [];
	const tcpPorts = new Map<number, string>();
	for (const [name, port] of [['caller-port', settings.callerPort], ['backend-port', settings.backendPort], ['peer-port', settings.peerPort]] as const) {
		const other = tcpPorts.get(port);
		if (port !== 0 && other !== undefined) {
			problems.push(`${name}: ${port} is already used by ${other}; each TCP port needs its own number`);
		}

		tcpPorts.set(port, name);
	}

	return problems;
}
