import {Buffer} from 'node:buffer';

/** Size of the length that precedes each frame. */
const headerBytes = 4;

/** Puts the length of a JSON text before it (unsigned, big-endian). */
export function encodeFrame(json: string): Uint8Array {
	const lengthBytes = Buffer.byteLength(json);
	const frame = Buffer.allocUnsafe(headerBytes + lengthBytes);
	frame.writeUInt32BE(lengthBytes, 0);
	frame.write(json, headerBytes);
	return frame;
}
