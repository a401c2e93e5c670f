import {type Server} from 'node:http';
import {type Socket} from 'node:net';
import {Deferred} from '../../base/deferred.js';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {answerMalformed} from '../callers/answer-malformed.js';
import {CallerConnection} from './caller-connection.js';

/** Interval at which connections are checked for request heads that take too long, and for idle ones. */
const checkIntervalMs = 500;

type Timeouts = {
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** The open connections of an HTTP server's callers; answers malformed and late request heads, and closes idle connections. */
export class CallerConnections implements Disposable {
	/** Applied from the next check on. */
	timeouts: Timeouts = {headerTimeoutMs: Number.POSITIVE_INFINITY, idleTimeoutMs: Number.POSITIVE_INFINITY};
	private readonly connections = new Map<Socket, CallerConnection>();
	private readonly idleWaiters: Array<Deferred<void>> = [];
	private readonly checkTimer: NodeJS.Timeout;

	constructor(server: Server) {
		server.on('connection', socket => {
			this.add(socket);
		});
		server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.rejectMalformed(socket as Socket, error.code === 'HPE_HEADER_OVERFLOW' ? ErrorKind.HeadTooLarge : ErrorKind.BadRequest);
		});
		this.checkTimer = setInterval(() => {
			this.check(performance.now());
		}, checkIntervalMs);
		this.checkTimer.unref();
	}

	/** Returns an open connection; undefined after it has been closed. */
	get(socket: Socket): CallerConnection | undefined {
		return this.connections.get(socket);
	}

	/** Ends a request whose answer has left the process or whose connection is closed. */
	endRequest(connection: CallerConnection, request: AbortController): void {
		connection.endRequest(request, performance.now());
		this.resolveIfIdle();
	}

	closeIdle(): void {
		for (const [socket, connection] of this.connections) {
			if (connection.isIdle) {
				socket.destroy();
			}
		}
	}

	abortRequests(): void {
		for (const {running} of this.connections.values()) {
			for (const abortController of running) {
				abortController.abort();
			}
		}
	}

	/** Resolves when no request is running. */
	async whenIdle(): Promise<void> {
		const waiter = new Deferred<void>();
		this.idleWaiters.push(waiter);
		this.resolveIfIdle();
		return waiter.promise;
	}

	dispose(): void {
		clearInterval(this.checkTimer);
	}

	private add(socket: Socket): void {
		const connection = new CallerConnection(socket, performance.now());
		this.connections.set(socket, connection);
		// The responses of pipelined requests that wait for their turn have no connection and never emit `close`.
		socket.once('close', () => {
			this.connections.delete(socket);
			for (const abortController of connection.running) {
				abortController.abort();
			}

			this.resolveIfIdle();
		});
	}

	private check(nowMs: number): void {
		const {headerTimeoutMs, idleTimeoutMs} = this.timeouts;
		for (const [socket, connection] of this.connections) {
			if ((connection.headAgeMs(nowMs) ?? 0) > headerTimeoutMs) {
				this.rejectMalformed(socket, ErrorKind.RequestTimeout);
			} else if ((connection.idleAgeMs(nowMs) ?? 0) > idleTimeoutMs + checkIntervalMs) {
				socket.destroy();
			}
		}
	}

	/** Sends a final answer, after which no further request of the connection is executed. */
	private rejectMalformed(socket: Socket, kind: ErrorKind): void {
		const connection = this.connections.get(socket);
		if (connection?.isClosing) {
			socket.destroy();
			return;
		}

		answerMalformed(socket, (connection?.running.size ?? 0) > 0, kind);
		if (connection) {
			connection.isClosing = true;
		}
	}

	private resolveIfIdle(): void {
		if (this.idleWaiters.length > 0 && [...this.connections.values()].every(({running}) => running.size === 0)) {
			for (const waiter of this.idleWaiters.splice(0)) {
				waiter.resolve();
			}
		}
	}
}
