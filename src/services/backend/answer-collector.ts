import {type Dispatcher} from 'undici';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {BodyCollector} from '../../runtime/http/body-collector.js';
import {BackendHeader} from './backend-header.js';

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Complete answer of a backend server, with all its headers. */
export type CollectedAnswer = {
	readonly status: number;
	readonly headers: Headers;
	readonly body: Uint8Array;
};

const firstFinalStatus = 200;

/** Collects one complete answer, up to a maximum size, and records whether any byte of the request was sent. */
export class AnswerCollector implements Dispatcher.DispatchHandler {
	private readonly answer = new Deferred<CollectedAnswer>();
	private readonly body = new BodyCollector();
	private sizeBytes = 0;
	private status = 0;
	private headers: Headers = {};
	private controller: Dispatcher.DispatchController | undefined;
	private abandonReason: Error | undefined;

	/** `context` is the token of the call; an answer with a different token belongs to another call. */
	constructor(private readonly maxAnswerBytes: number, private readonly context: string) {}

	get completeAnswer(): Promise<CollectedAnswer> {
		return this.answer.promise;
	}

	get wasSent(): boolean {
		return this.controller !== undefined;
	}

	/** Abandons the answer: a request that was sent is cancelled by closing its connection, any other is never sent. */
	abandon(reason: Error): void {
		this.abandonReason ??= reason;
		this.controller?.abort(reason);
		this.answer.reject(reason);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		if (this.abandonReason ?? this.controller) {
			controller.abort(this.abandonReason ?? new Error('refused to send the request a second time'));
			return;
		}

		this.controller = controller;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Headers): void {
		const context = headers[BackendHeader.Context];
		if (context !== undefined && context !== this.context) {
			this.abandon(new KumquatlineError(ErrorKind.BackendFailed, 'the answer belongs to another call'));
			return;
		}

		if (status >= firstFinalStatus) {
			this.status = status;
			this.headers = headers;
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.sizeBytes += chunk.length;
		if (this.sizeBytes > this.maxAnswerBytes) {
			this.abandon(new KumquatlineError(ErrorKind.AnswerTooLarge, `the answer is larger than ${this.maxAnswerBytes} bytes`, {started: true}));
			return;
		}

		this.body.append(chunk);
	}

	onResponseEnd(): void {
		this.answer.resolve({status: this.status, headers: this.headers, body: this.body.take()});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.answer.reject(error);
	}
}
