import {isIP} from 'node:net';
import {type Type} from 'cmd-ts';

const maxPort = 65_535;

/** Setting type: `IP:PORT`, or empty for none. */
export const hostPort: Type<string, string> = {
	displayName: 'ip:port',
	description: 'an IP address and a port, or empty for none',
	async from(value) {
		if (value === '') {
			return value;
		}

		const separator = value.lastIndexOf(':');
		const port = Number(value.slice(separator + 1));
		if (isIP(value.slice(0, Math.max(0, separator))) === 0 || !Number.isInteger(port) || port < 1 || port > maxPort) {
			throw new Error(`"${value}" is not of the form IP:PORT`);
		}

		return value;
	},
};
