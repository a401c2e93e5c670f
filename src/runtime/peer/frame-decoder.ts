import {Buffer} from 'node:buffer';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type Frame} from './frame.js';

/** Size of each of the two length fields of a frame. */
const lengthFieldBytes = 4;

/** Splits a byte stream into length-prefixed frames (unsigned, big-endian). */
export class FrameDecoder {
	private chunks: Uint8Array[] = [];
	private bufferedBytes = 0;
	private neededBytes = lengthFieldBytes;

	constructor(private readonly maxFrameBytes: number) {}

	/** Yields the frames that a chunk completes; throws `peer-protocol` for a frame that is too long. */
	* push(chunk: Uint8Array): Generator<Frame> {
		this.chunks.push(chunk);
		this.bufferedBytes += chunk.length;
		while (this.bufferedBytes >= this.neededBytes) {
			const buffer = this.joined();
			const lengthBytes = buffer.readUInt32BE(0);
			this.checkLength(lengthBytes);
			const endBytes = lengthFieldBytes + lengthBytes;
			if (buffer.length < endBytes) {
				this.neededBytes = endBytes;
				return;
			}

			this.retain(buffer.subarray(endBytes));
			yield split(buffer.subarray(lengthFieldBytes, endBytes));
		}
	}

	private checkLength(lengthBytes: number): void {
		if (lengthBytes > this.maxFrameBytes) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, `frame of ${lengthBytes} bytes exceeds the limit of ${this.maxFrameBytes}`);
		}
	}

	private joined() {
		if (this.chunks.length > 1) {
			this.chunks = [Buffer.concat(this.chunks)];
		}

		const [chunk] = this.chunks;
		return Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
	}

	private retain(rest: Uint8Array): void {
		this.chunks = [rest];
		this.bufferedBytes = rest.length;
		this.neededBytes = lengthFieldBytes;
	}
}

/** Splits the content after the frame length into the JSON text and the attached bytes. */
function split(content: Uint8Array): Frame {
	const buffer = Buffer.from(content.buffer, content.byteOffset, content.length);
	const jsonBytes = buffer.length < lengthFieldBytes ? buffer.length : buffer.readUInt32BE(0);
	const attachmentStart = lengthFieldBytes + jsonBytes;
	if (attachmentStart > buffer.length) {
		throw new KumquatlineError(ErrorKind.PeerProtocol, `frame of ${buffer.length} bytes can't hold a JSON text of ${jsonBytes} bytes`);
	}

	return {json: buffer.toString('utf8', lengthFieldBytes, attachmentStart), attachment: buffer.subarray(attachmentStart)};
}
