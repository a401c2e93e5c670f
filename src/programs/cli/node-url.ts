import {isIP} from 'node:net';
import {type Type} from 'cmd-ts';

/** Argument type: base URL of a node's port for callers and operators. */
export const nodeUrl: Type<string, string> = {
	displayName: 'url',
	description: 'http://IP:PORT of any node',
	async from(value) {
		const url = URL.canParse(value) ? new URL(value) : undefined;
		if (url?.protocol !== 'http:' || isIP(url.hostname.replaceAll(/[\[\]]/gv, '')) === 0) {
			throw new Error(`"${value}" is not of the form http://IP:PORT`);
		}

		return url.origin;
	},
};
