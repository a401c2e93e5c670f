import {connect, type Socket} from 'node:net';
import {type Disposable} from '../../base/disposable.js';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type BodyReservation} from '../../runtime/http/body-reservation.js';
import {type HeaderNames} from '../../runtime/http/header-names.js';
import {findHeader} from '../../runtime/http/find-header.js';
import {findHeaders} from '../../runtime/http/find-headers.js';
import {AnswerParser, type ParsedAnswer} from './answer-parser.js';
import {type ExchangeRequest} from './exchange-request.js';

/** Idle time after which a connection is not reused if the backend server states no idle timeout. */
const defaultIdleMs = 4000;
/** Fraction of the stated idle timeout within which a connection is reused, so that a request does not cross with its closing. */
const idleFraction = 0.8;
const msPerSecond = 1000;
/** Refusals after which a connection is not reused, which bounds the ids that it remembers. */
const maxRefusals = 100;

type Pending = {
	readonly request: ExchangeRequest;
	readonly answer: Deferred<ParsedAnswer>;
};

type ConnectionOptions = {
	readonly host: string;
	readonly port: number;
	readonly connectTimeoutMs: number;
	readonly maxAnswerBytes: number;
	/** Counts the bytes held for incomplete answers. */
	readonly bodyReservation: BodyReservation;
	/** Called with the reason when bytes arrive that belong to no request; the connection is closed. */
	readonly onStrayBytes: (reason: string) => void;
};

/** A connection to the VM's backend server that carries one request at a time. */
export class ExchangeConnection implements Disposable {
	private readonly socket: Socket;
	private readonly parser: AnswerParser;
	private readonly connected = new Deferred<void>();
	private pending: Pending | undefined;
	/** Ids of the requests that were refused on this connection. */
	private readonly refusedIds = new Set<string>();
	private exchangeCount = 0;
	private idleSinceMs = 0;
	private idleMs = defaultIdleMs;
	private isOpen = true;
	private mustClose = false;

	constructor(private readonly options: ConnectionOptions, private readonly names: HeaderNames) {
		this.parser = new AnswerParser(options.maxAnswerBytes, options.bodyReservation, answer => {
			this.receive(answer);
		});
		this.socket = connect({
			host: options.host, port: options.port, noDelay: true, allowHalfOpen: true,
		});
		this.socket.setTimeout(options.connectTimeoutMs, () => {
			this.fail('connecting timed out');
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

	/** Whether another request may be sent. */
	get isReusable(): boolean {
		return this.isOpen && !this.mustClose && !this.pending && this.refusedIds.size < maxRefusals && performance.now() - this.idleSinceMs < this.idleMs;
	}

	/** Whether a request of this id was refused here: the same refusal, written again, could not be told from the answer to its next attempt. */
	hasRefused(requestId: string): boolean {
		return this.refusedIds.has(requestId);
	}

	recordRefusal(requestId: string): void {
		this.refusedIds.add(requestId);
	}

	/** Resolves when requests can be sent; rejects with `backend-unreachable` if the connection fails. */
	async whenConnected(): Promise<void> {
		return this.connected.promise;
	}

	/** Sends a request and resolves with its answer; rejects with `backend-failed` or `deadline-exceeded`, after which it may have been executed. */
	async exchange(request: ExchangeRequest, signal: AbortSignal): Promise<ParsedAnswer> {
		const pending = {request, answer: new Deferred<ParsedAnswer>()};
		this.pending = pending;
		this.exchangeCount++;
		const onAbort = () => {
			const isLate = signal.reason instanceof KumquatlineError && signal.reason.kind === ErrorKind.DeadlineExceeded;
			this.fail('the request was aborted', isLate ? ErrorKind.DeadlineExceeded : ErrorKind.BackendFailed);
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
		this.fail('the connection was abandoned');
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
			this.rejectStrayBytes('the backend server sent data without a request');
			return;
		}

		let failure: string | undefined;
		try {
			this.parser.push(bytes);
		} catch (error) {
			failure = error instanceof Error ? error.message : 'the received data is not an HTTP answer';
		}

		if (!this.pending && this.parser.hasPartialAnswer) {
			// The parser would take these bytes for the start of the next answer.
			this.rejectStrayBytes('the backend server sent data behind its answer');
		} else if (failure !== undefined) {
			this.fail(failure);
		}
	}

	private rejectStrayBytes(reason: string): void {
		if (this.isOpen) {
			this.options.onStrayBytes(reason);
			this.fail(reason);
		}
	}

	private receive(answer: ParsedAnswer): void {
		const {pending} = this;
		if (!pending) {
			this.mustClose = true;
			return;
		}

		const echoedIds = findHeaders(answer.headers, this.names.requestId);
		if (echoedIds.length > 1) {
			this.fail('the answer has several request ids');
			return;
		}

		const [echoedId] = echoedIds;
		if (echoedId !== undefined && echoedId !== pending.request.requestId) {
			// A late answer to an earlier request: the right answer may follow, but the connection is not reused.
			this.mustClose = true;
			return;
		}

		// Without a request id, only the first answer on a connection is certain to belong to the request.
		if (echoedId === undefined && this.exchangeCount > 1) {
			this.fail('the answer has no request id');
			return;
		}

		this.pending = undefined;
		this.becomeIdle(answer);
		pending.answer.resolve(answer);
	}

	private becomeIdle({headers, keepsAlive}: ParsedAnswer): void {
		this.idleSinceMs = performance.now();
		const timeoutMatch = /timeout=(\d+)/v.exec(findHeader(headers, 'keep-alive') ?? '');
		this.idleMs = timeoutMatch ? Number(timeoutMatch[1]) * msPerSecond * idleFraction : defaultIdleMs;
		if (!keepsAlive || this.mustClose) {
			this.mustClose = true;
			this.socket.end();
		}
	}

	/** Handles the end of the data from the backend server. */
	private finish(): void {
		if (!this.pending || !this.parser.hasPartialAnswer) {
			this.fail('the backend server closed the connection');
			return;
		}

		// A reset that arrives with the last bytes is reported as a clean close; only a write can distinguish the two.
		this.socket.write('\r\n', error => {
			if (error) {
				this.fail('the connection was reset');
			} else {
				this.finishAnswer();
			}
		});
	}

	/** Completes an answer without a length, which ends with its connection. */
	private finishAnswer(): void {
		try {
			this.parser.finish();
		} catch {
			// The answer is incomplete; `fail` below rejects the pending request.
		}

		this.fail('the backend server closed the connection');
	}

	private fail(reason: string, kind = ErrorKind.BackendFailed): void {
		if (!this.isOpen) {
			return;
		}

		this.isOpen = false;
		this.options.bodyReservation.dispose();
		this.socket.destroy();
		this.connected.reject(new KumquatlineError(ErrorKind.BackendUnreachable, `connection to the backend server failed: ${reason}`, {started: false}));
		this.pending?.answer.reject(new KumquatlineError(kind, `no valid answer from the backend server: ${reason}`));
		this.pending = undefined;
	}
}
