import {type Socket} from 'node:net';

/** What the node knows of a connection of a caller. */
export class CallerConnection {
	/** Abort controllers of the requests that are not answered yet, in the order of their arrival. An answer ends when it has left the process. */
	readonly running = new Set<AbortController>();
	/** Whether the end of the caller was checked for, before its first request. */
	wasChecked = false;
	private lastRunning: AbortController | undefined;
	private hasFinalAnswer = false;
	/** Bytes received when the last request was answered, or none; more belong to a head that is not complete. */
	private handledBytes = 0;
	private sinceMs: number;
	private isReadingHead = false;

	constructor(private readonly socket: Socket, nowMs: number) {
		this.sinceMs = nowMs;
	}

	/** Whether an answer that ends the connection is written or decided; nothing that comes behind it may be executed. */
	get isClosing(): boolean {
		return this.hasFinalAnswer;
	}

	/** Whether no request is running or being received. */
	get isIdle(): boolean {
		return this.running.size === 0 && this.socket.bytesRead === this.handledBytes;
	}

	begin(request: AbortController): void {
		this.running.add(request);
		this.lastRunning = request;
	}

	end(request: AbortController, nowMs: number): void {
		this.running.delete(request);
		this.handledBytes = this.socket.bytesRead;
		this.isReadingHead = false;
		this.sinceMs = nowMs;
	}

	/** Whether no request has arrived behind this one. */
	isLast(request: AbortController): boolean {
		return this.lastRunning === request;
	}

	close(): void {
		this.hasFinalAnswer = true;
	}

	/** Returns for how long the head of a request has been incomplete, counted from the first call that found part of it; undefined without one. */
	headAgeMs(nowMs: number): number | undefined {
		if (this.running.size > 0 || this.isIdle) {
			return undefined;
		}

		if (!this.isReadingHead) {
			this.isReadingHead = true;
			this.sinceMs = nowMs;
		}

		return nowMs - this.sinceMs;
	}

	/** Returns for how long the connection has been idle; undefined while it isn't. */
	idleAgeMs(nowMs: number): number | undefined {
		return this.isIdle ? nowMs - this.sinceMs : undefined;
	}
}
