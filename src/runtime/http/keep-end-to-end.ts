import {findHeader} from './find-header.js';
import {hopByHopHeaders} from './hop-by-hop-headers.js';

/** Removes hop-by-hop headers, headers that frame the body and those in `except` from alternating names and values. */
export function keepEndToEnd(headers: readonly string[], except: ReadonlySet<string> = new Set()): string[] {
	const connectionOptions = new Set((findHeader(headers, 'connection') ?? '').split(',').map(name => name.trim().toLowerCase()));
	const kept: string[] = [];
	for (let index = 0; index < headers.length; index += 2) {
		const name = headers[index].toLowerCase();
		if (!hopByHopHeaders.has(name) && !connectionOptions.has(name) && !except.has(name)) {
			kept.push(headers[index], headers[index + 1]);
		}
	}

	return kept;
}
