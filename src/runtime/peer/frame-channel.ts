import {type Socket} from 'node:net';
import {Deferred} from '../../base/deferred.js';
import {type Disposable} from '../../base/disposable.js';
import {encodeFrame} from './encode-frame.js';
import {type Frame} from './frame.js';
import {FrameDecoder} from './frame-decoder.js';

type FrameHandlers = {
	/** Takes a frame; throws when it makes no sense. */
	receive(frame: Frame): void;
	/** Part of a frame came, its end not yet. */
	progress(): void;
	/** The bytes make no sense; nothing after them is read. */
	refuse(error: unknown): void;
	closed(): void;
};

/** A body of 64 MiB, the greatest that policies allow, and its head fit in. */
const maxFrameBytes = 68_157_440;
/** Bytes waiting to be sent above which new calls wait. */
const highWaterBytes = 1_048_576;
/** Bytes waiting to be sent above which the reader counts as stuck. */
const maxWaitingBytes = 33_554_432;

/** JSON texts, with bytes attached to some, in length-prefixed frames over one TCP socket. */
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

	/** Whether the other end reads so slowly that it has to be given up. */
	get isStuck(): boolean {
		return this.socket.writableLength > maxWaitingBytes;
	}

	send(payload: unknown, attachment?: Uint8Array): void {
		if (!this.closed) {
			this.socket.write(encodeFrame(JSON.stringify(payload), attachment));
		}
	}

	/** Resolves when the bytes waiting to be sent are few, or the channel is closed. */
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

	/** Lets what was sent go out, then closes. */
	end(): void {
		this.socket.end();
		this.close();
	}

	/** Resolves when all that was sent has left this process, and closes. */
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
			this.handlers.refuse(error);
			return;
		}

		if (frames === 0) {
			this.handlers.progress();
		}
	}
}
