import {hopByHopHeaders} from './hop-by-hop-headers.js';

const ownPrefix = 'kumquatline-';

/** Headers to forward, in lower case; several `set-cookie` values are separated by line feeds, which header values cannot contain. */
export function endToEndHeaders(headers: Readonly<Record<string, string | readonly string[] | undefined>>): Record<string, string> {
	const connectionOptions = parseConnectionOptions(headers.connection);
	const kept: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || hopByHopHeaders.has(name) || name === 'host' || name.startsWith(ownPrefix) || connectionOptions?.has(name)) {
			continue;
		}

		kept[name] = typeof value === 'string' ? value : value.join(name === 'set-cookie' ? '\n' : ', ');
	}

	return kept;
}

function parseConnectionOptions(value: string | readonly string[] | undefined): ReadonlySet<string> | undefined {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return undefined;
	}

	return new Set(String(value).split(',').map(name => name.trim().toLowerCase()));
}
