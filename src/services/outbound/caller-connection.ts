import {type Socket} from 'node:net';

/** Requests and received bytes of a caller's connection. */
export class CallerConnection {
	/** Abort controllers of the requests whose answers have not left the process, in order of arrival. */
	readonly running = new Set<AbortController>();
	/** Whether the first request has been checked for a caller that disconnected before it was accepted. */
	hasCheckedCaller = false;
	/** Whether an answer that closes the connection is decided; later requests must not be executed. */
	isClosing = false;
	private lastRequest: AbortController | undefined;
	/** Bytes received up to the end of the last request; any more belong to an incomplete request head. */
	private handledBytes = 0;
	private isReadingHead = false;
	/** Start of the current idle time or incomplete head. */
	private stateSinceMs: number;

	constructor(private readonly socket: Socket, nowMs: number) {
		this.stateSinceMs = nowMs;
	}

	/** Whether no request is running or being received. */
	get isIdle(): boolean {
		return this.running.size === 0 && this.socket.bytesRead === this.handledBytes;
	}

	beginRequest(request: AbortController): void {
		this.running.add(request);
		this.lastRequest = request;
	}

	endRequest(request: AbortController, nowMs: number): void {
		this.running.delete(request);
		this.handledBytes = this.socket.bytesRead;
		this.isReadingHead = false;
		this.stateSinceMs = nowMs;
	}

	/** Whether no later request has arrived. */
	isLastRequest(request: AbortController): boolean {
		return this.lastRequest === request;
	}

	/** Returns how long a request head has been incomplete, counted from the first call that finds part of it; undefined without one. */
	headAgeMs(nowMs: number): number | undefined {
		if (this.running.size > 0 || this.isIdle) {
			return undefined;
		}

		if (!this.isReadingHead) {
			this.isReadingHead = true;
			this.stateSinceMs = nowMs;
		}

		return nowMs - this.stateSinceMs;
	}

	/** Returns how long the connection has been idle; undefined if it is not. */
	idleAgeMs(nowMs: number): number | undefined {
		return this.isIdle ? nowMs - this.stateSinceMs : undefined;
	}
}
