import {hopHeaders} from './hop-headers.js';

const ownPrefix = 'kumquatline-';

/** Headers to forward, in lower case; several `set-cookie` values are separated by line feeds, which header values cannot contain. */
export function endToEndHeaders(headers: Readonly<Record<string, string | readonly string[] | undefined>>): Record<string, string> {
	const named = connectionHeaders(headers.connection);
	const kept: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || hopHeaders.has(name) || name === 'host' || name.startsWith(ownPrefix) || named?.has(name)) {
			continue;
		}

		kept[name] = typeof value === 'string' ? value : value.join(name === 'set-cookie' ? '\n' : ', ');
	}

	return kept;
}

function connectionHeaders(value: string | readonly string[] | undefined): ReadonlySet<string> | undefined {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return undefined;
	}

	return new Set(String(value).split(',').map(name => name.trim().toLowerCase()));
}
