import {isIP} from 'node:net';
import {type Type} from 'cmd-ts';

/** Setting type: an IP address, never a host name. */
export const ipAddress: Type<string, string> = {
	displayName: 'ip',
	description: 'an IPv4 or IPv6 address',
	async from(value) {
		if (isIP(value) === 0) {
			throw new Error(`"${value}" is not an IP address; host names are not allowed`);
		}

		return value;
	},
};
