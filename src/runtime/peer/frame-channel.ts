import {type Socket} from 'node:net';
import {Deferred} from '../../base/deferred.js';
import {type Disposable} from '../../base/disposable.js';
import {encodeFrame} from './encode-frame.js';
import {type Frame} from './frame.js';
import {FrameDecoder} from './frame-decoder.js';

type FrameHandlers = {
	/** Processes a frame; throws if it is malformed. */
	receive(frame: Frame): void;
	/** Bytes arrived, but did not complete a frame. */
	progress(): void;
	/** Invalid data arrived; nothing after it is read. */
	protocolError(error: unknown): void;
	closed(): void;
};

/** Fits a body of 64 MiB, the limit for an answer of a backend server, with its head. */
const maxFrameBytes = 68_157_440;
/** Number of bytes waiting to be sent above which new calls wait. */
const highWaterBytes = 1_048_576;
/** Number of bytes waiting to be sent above which the reader counts as stuck. */
const maxWaitingBytes = 33_554_432;

/** Sends and receives length-prefixed frames, of a JSON text and attached bytes, over one TCP socket. */
export class FrameChannel implements Disposable {
	private readonly decoder = new FrameDecoder(maxFrameBytes);
	private closed = false;

	constructor(private readonly socket: Socket, private readonly handlers: FrameHandlers) {
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.read(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.dispose();
		});
	}

	get isClosed(): boolean {
		return this.closed;
	}

	/** Whether the other end reads so slowly that the connection has to be closed. */
	get isStuck(): boolean {
		return this.socket.writableLength > maxWaitingBytes;
	}

	send(payload: unknown, attachment?: Uint8Array): void {
		if (!this.closed) {
			this.socket.write(encodeFrame(JSON.stringify(payload), attachment));
		}
	}

	/** Resolves when the bytes waiting to be sent are below the high-water mark, or the channel is closed. */
	async whenWritable(): Promise<void> {
		while (!this.closed && this.socket.writableLength > highWaterBytes) {
			const changed = new Deferred<void>();
			this.socket.once('drain', changed.resolve);
			this.socket.once('close', changed.resolve);
			await changed.promise;
			this.socket.off('drain', changed.resolve);
			this.socket.off('close', changed.resolve);
		}
	}

	/** Closes the channel; the socket still sends what was written before. */
	end(): void {
		this.socket.end();
		this.close();
	}

	/** Waits until all written data has left this process, then closes. */
	async finish(): Promise<void> {
		const left = new Deferred<void>();
		this.socket.once('close', left.resolve);
		this.socket.end(left.resolve);
		await left.promise;
		this.dispose();
	}

	dispose(): void {
		this.socket.destroy();
		this.close();
	}

	private close(): void {
		if (!this.closed) {
			this.closed = true;
			this.handlers.closed();
		}
	}

	private read(chunk: Uint8Array): void {
		if (this.closed) {
			return;
		}

		let frames = 0;
		try {
			for (const frame of this.decoder.push(chunk)) {
				frames++;
				this.handlers.receive(frame);
			}
		} catch (error) {
			this.handlers.protocolError(error);
			return;
		}

		if (frames === 0) {
			this.handlers.progress();
		}
	}
}
