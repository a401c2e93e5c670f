import {Buffer} from 'node:buffer';

/** Sizes of the two lengths that precede each frame: of all that follows, and of its JSON text. */
const lengthBytes = 4;
const headerBytes = 2 * lengthBytes;
const noBytes = new Uint8Array();

/** Puts a JSON text and the bytes attached to it into one frame, lengths first (unsigned, big-endian). */
export function encodeFrame(json: string, attachment: Uint8Array = noBytes): Uint8Array {
	const jsonBytes = Buffer.byteLength(json);
	const frame = Buffer.allocUnsafe(headerBytes + jsonBytes + attachment.length);
	frame.writeUInt32BE(lengthBytes + jsonBytes + attachment.length, 0);
	frame.writeUInt32BE(jsonBytes, lengthBytes);
	frame.write(json, headerBytes);
	frame.set(attachment, headerBytes + jsonBytes);
	return frame;
}
