import {connect, type Socket} from 'node:net';
import {type Disposable} from '../../base/disposable.js';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type BodyShare} from '../../runtime/http/body-share.js';
import {type HeaderNames} from '../../runtime/http/header-names.js';
import {findHeader} from '../../runtime/http/find-header.js';
import {AnswerParser, type ParsedAnswer} from './answer-parser.js';
import {type ExchangeRequest} from './exchange-request.js';

/** Idle time after which a backend server that names none may close a connection. */
const defaultIdleMs = 4000;
/** Share of the idle time in which a connection is used again, so that the request doesn't cross its closing. */
const idleShare = 0.8;
const msPerSecond = 1000;

type Pending = {
	readonly request: ExchangeRequest;
	readonly answer: Deferred<ParsedAnswer>;
};

type ConnectionOptions = {
	readonly host: string;
	readonly port: number;
	readonly connectTimeoutMs: number;
	readonly maxAnswerBytes: number;
	/** Counts what is held of answers that are not whole yet. */
	readonly share: BodyShare;
};

/** One connection to the VM's backend server, with one request at a time. */
export class ExchangeConnection implements Disposable {
	private readonly socket: Socket;
	private readonly parser: AnswerParser;
	private readonly connected = new Deferred<void>();
	private pending: Pending | undefined;
	private exchanges = 0;
	private idleSinceMs = 0;
	private idleMs = defaultIdleMs;
	private isOpen = true;
	private isCondemned = false;

	constructor(private readonly options: ConnectionOptions, private readonly names: HeaderNames) {
		this.parser = new AnswerParser(options.maxAnswerBytes, options.share, answer => {
			this.receive(answer);
		});
		this.socket = connect({
			host: options.host, port: options.port, noDelay: true, allowHalfOpen: true,
		});
		this.socket.setTimeout(options.connectTimeoutMs, () => {
			this.fail('no connection in time');
		});
		this.socket.once('connect', () => {
			this.socket.setTimeout(0);
			this.connected.resolve();
		});
		this.socket.on('data', bytes => {
			this.read(bytes);
		});
		this.socket.on('end', () => {
			this.finish();
		});
		this.socket.on('error', error => {
			this.fail(error.message);
		});
		this.socket.on('close', () => {
			this.fail('the connection was closed');
		});
	}

	/** Whether a further request may be sent. */
	get isReusable(): boolean {
		return this.isOpen && !this.isCondemned && !this.pending && performance.now() - this.idleSinceMs < this.idleMs;
	}

	/** Resolves when requests can be sent; rejects with `backend-unreachable`. */
	async whenConnected(): Promise<void> {
		return this.connected.promise;
	}

	/** Sends a request and resolves with its answer; rejects with `backend-failed`, after which it may have run. */
	async exchange(request: ExchangeRequest, signal: AbortSignal): Promise<ParsedAnswer> {
		const pending = {request, answer: new Deferred<ParsedAnswer>()};
		this.pending = pending;
		this.exchanges++;
		const onAbort = () => {
			const isLate = signal.reason instanceof KumquatlineError && signal.reason.kind === ErrorKind.DeadlineExceeded;
			this.fail('the request was given up', isLate ? ErrorKind.DeadlineExceeded : ErrorKind.BackendFailed);
		};

		signal.addEventListener('abort', onAbort, {once: true});
		this.parser.expect(request.method === 'HEAD');
		this.write(request);
		try {
			return await pending.answer.promise;
		} finally {
			signal.removeEventListener('abort', onAbort);
		}
	}

	dispose(): void {
		this.fail('the connection was given up');
	}

	private write({method, target, headers, body}: ExchangeRequest): void {
		let head = `${method} ${target} HTTP/1.1\r\n`;
		for (let index = 0; index < headers.length; index += 2) {
			head += `${headers[index]}: ${headers[index + 1]}\r\n`;
		}

		if (body.length > 0 || !['GET', 'HEAD', 'DELETE'].includes(method)) {
			head += `Content-Length: ${body.length}\r\n`;
		}

		this.socket.cork();
		this.socket.write(`${head}\r\n`, 'latin1');
		if (body.length > 0) {
			this.socket.write(body);
		}

		this.socket.uncork();
	}

	private read(bytes: Uint8Array): void {
		if (!this.pending) {
			this.fail('bytes without a request');
			return;
		}

		try {
			this.parser.push(bytes);
		} catch (error) {
			this.fail(error instanceof Error ? error.message : 'bytes that are no answer');
		}
	}

	private receive(answer: ParsedAnswer): void {
		const {pending} = this;
		if (!pending) {
			this.isCondemned = true;
			return;
		}

		const echoedId = findHeader(answer.headers, this.names.requestId);
		if (echoedId !== undefined && echoedId !== pending.request.requestId) {
			// A late answer to an earlier request: the right one may follow, and the connection serves no other.
			this.isCondemned = true;
			return;
		}

		// Without an id only the first answer of a connection is certainly the request's own.
		if (echoedId === undefined && this.exchanges > 1) {
			this.fail('an answer without a request id');
			return;
		}

		this.pending = undefined;
		this.noteIdle(answer);
		pending.answer.resolve(answer);
	}

	private noteIdle({headers, keepsAlive}: ParsedAnswer): void {
		this.idleSinceMs = performance.now();
		const stated = /timeout=(\d+)/v.exec(findHeader(headers, 'keep-alive') ?? '');
		this.idleMs = stated ? Number(stated[1]) * msPerSecond * idleShare : defaultIdleMs;
		if (!keepsAlive || this.isCondemned) {
			this.isCondemned = true;
			this.socket.end();
		}
	}

	/** The other end sends no more. */
	private finish(): void {
		if (!this.pending || !this.parser.isInside) {
			this.fail('the backend server closed the connection');
			return;
		}

		// A reset that comes with the last bytes is reported as a clean close; only a write tells the two apart.
		this.socket.write('\r\n', error => {
			if (error) {
				this.fail('the connection was reset');
			} else {
				this.finishAnswer();
			}
		});
	}

	/** Completes an answer without a length, whose end is that of its connection. */
	private finishAnswer(): void {
		try {
			this.parser.finish();
		} catch {
			// What came is no whole answer; the connection's end says so to whoever waits.
		}

		this.fail('the backend server closed the connection');
	}

	private fail(reason: string, kind = ErrorKind.BackendFailed): void {
		if (!this.isOpen) {
			return;
		}

		this.isOpen = false;
		this.options.share.dispose();
		this.socket.destroy();
		this.connected.reject(new KumquatlineError(ErrorKind.BackendUnreachable, `the backend server: ${reason}`, {started: false}));
		this.pending?.answer.reject(new KumquatlineError(kind, `the backend server: ${reason}`));
		this.pending = undefined;
	}
}
