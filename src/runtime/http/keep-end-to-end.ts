import {findHeader} from './find-header.js';
import {hopHeaders} from './hop-headers.js';

/** Removes hop-by-hop headers, headers that frame the body and those in `except` from alternating names and values. */
export function keepEndToEnd(headers: readonly string[], except: ReadonlySet<string> = new Set()): string[] {
	const listed = new Set((findHeader(headers, 'connection') ?? '').split(',').map(name => name.trim().toLowerCase()));
	const kept: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index].toLowerCase();
		if (!hopHeaders.has(name) && !listed.has(name) && !except.has(name)) {
			kept.push(headers[index], headers[index + 1]);
		}
	}

	return kept;
}
