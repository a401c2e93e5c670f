import {isIP} from 'node:net';
import {type Type} from 'cmd-ts';

/** Setting type: base URLs with IP addresses, separated by commas. */
export const urlList: Type<string, readonly string[]> = {
	displayName: 'urls',
	description: 'http URLs with IP addresses, separated by commas',
	async from(value) {
		const urls = value.split(',').map(item => item.trim());
		for (const url of urls) {
			checkUrl(url);
		}

		return urls;
	},
};

function checkUrl(text: string): void {
	const url = URL.canParse(text) ? new URL(text) : undefined;
	if (url?.protocol !== 'http:' || isIP(url.hostname.replaceAll(/[\[\]]/gv, '')) === 0) {
		throw new Error(`"${text}" is not of the form http://IP:PORT`);
	}
}
