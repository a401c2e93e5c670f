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

	constructor(private readonly socket: Socket) {}

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

	end(request: AbortController): void {
		this.running.delete(request);
		this.handledBytes = this.socket.bytesRead;
	}

	/** Whether no request has arrived behind this one. */
	isLast(request: AbortController): boolean {
		return this.lastRunning === request;
	}

	close(): void {
		this.hasFinalAnswer = true;
	}
}
