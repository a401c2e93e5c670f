import {Buffer} from 'node:buffer';

/** Size of each of the two length fields of a frame: the length of all that follows, and that of the JSON text. */
const lengthBytes = 4;
const headerBytes = 2 * lengthBytes;
const noBytes = new Uint8Array();

/** Encodes a JSON text and its attached bytes as one frame that starts with the two lengths (unsigned, big-endian). */
export function encodeFrame(json: string, attachment: Uint8Array = noBytes): Uint8Array {
	const jsonBytes = Buffer.byteLength(json);
	const frame = Buffer.allocUnsafe(headerBytes + jsonBytes + attachment.length);
	frame.writeUInt32BE(lengthBytes + jsonBytes + attachment.length, 0);
	frame.writeUInt32BE(jsonBytes, lengthBytes);
	frame.write(json, headerBytes);
	frame.set(attachment, headerBytes + jsonBytes);
	return frame;
}
