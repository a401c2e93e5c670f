import {type Type} from 'cmd-ts';
import {hostPort} from './host-port.js';

/** Setting type: `IP:PORT` separated by commas, or empty for none. */
export const hostPortList: Type<string, readonly string[]> = {
	displayName: 'ip:port,…',
	description: 'IP addresses and ports separated by commas, or empty for none',
	async from(value) {
		const items = value.split(',').map(item => item.trim()).filter(item => item !== '');
		return Promise.all(items.map(async item => hostPort.from(item)));
	},
};
