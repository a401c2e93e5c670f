import {Buffer} from 'node:buffer';

/** Body as it travels between nodes. */
export function encodeBody(body: Uint8Array): string {
	return body.length === 0 ? '' : Buffer.from(body.buffer, body.byteOffset, body.length).toString('base64');
}
