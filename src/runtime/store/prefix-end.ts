import {Buffer} from 'node:buffer';

/** First key after all keys with this prefix, in the order of their bytes; base64. */
export function prefixEnd(prefix: string): string {
	const bytes = Buffer.from(prefix);
	let last = bytes.length - 1;
	while (last >= 0 && bytes[last] === 0xFF) {
		last--;
	}

	if (last < 0) {
		return Buffer.from([0]).toString('base64');
	}

	const end = Buffer.from(bytes.subarray(0, last + 1));
	end[last]++;
	return end.toString('base64');
}
