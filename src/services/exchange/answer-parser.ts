import {BodyCollector} from '../../runtime/http/body-collector.js';
import {type BodyReservation} from '../../runtime/http/body-reservation.js';
import {findHeaders} from '../../runtime/http/find-headers.js';
import {isBodyless} from '../../runtime/http/is-bodyless.js';
import {StrictHttpParser} from './strict-http-parser.js';

export type ParsedAnswer = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Whether the connection may carry another request. */
	readonly keepsAlive: boolean;
};

type Head = Pick<ParsedAnswer, 'status' | 'headers' | 'keepsAlive'>;

/** Maximum number of bytes of an answer outside its body: head, interim answers, chunk sizes and trailers. */
const maxFramingBytes = 131_072;
/** Additional framing bytes allowed for each byte of the body: single-byte chunks need five. */
const framingPerBodyByte = 8;
/** Lower statuses are interim answers, after which the final answer follows. */
const firstFinalStatus = 200;
const switchingProtocolsStatus = 101;
/** Minor version of HTTP/1 from which bodies may come in chunks. */
const firstChunkedMinorVersion = 1;

/** Parses the answers on one connection to a backend server, with any HTTP/1.1 framing. */
export class AnswerParser {
	private readonly parser = new StrictHttpParser('RESPONSE');
	private head: Head | undefined;
	private readonly body = new BodyCollector();
	private bodyBytes = 0;
	private receivedBytes = 0;
	private skipsBody = false;
	private hasStarted = false;

	constructor(private readonly maxBodyBytes: number, private readonly bodyReservation: BodyReservation, private readonly onAnswer: (answer: ParsedAnswer) => void) {
		this.parser.onHeadersComplete = ({statusCode, versionMinor, headers, shouldKeepAlive}) => {
			checkFraming(headers, versionMinor);
			if (statusCode === switchingProtocolsStatus) {
				throw new Error('the answer switches protocols');
			}

			this.head = {status: statusCode, headers, keepsAlive: shouldKeepAlive};
			return this.skipsBody || isBodyless(statusCode);
		};

		this.parser.onBody = (bytes, offset, length) => {
			this.appendBody(bytes.subarray(offset, offset + length));
		};

		this.parser.onMessageComplete = () => {
			this.complete();
		};
	}

	/** Whether bytes have arrived since the last complete answer. */
	get hasPartialAnswer(): boolean {
		return this.hasStarted;
	}

	/** Sets whether the next answer has no body because its request is a HEAD request. */
	expect(skipsBody: boolean): void {
		this.skipsBody = skipsBody;
	}

	/** Parses received bytes; throws if they are not an answer or if the answer is too long. */
	push(bytes: Uint8Array): void {
		this.hasStarted = true;
		this.receivedBytes += bytes.length;
		const result = this.parser.execute(bytes);
		if (typeof result !== 'number') {
			throw result;
		}

		if (this.receivedBytes - this.bodyBytes > maxFramingBytes + (this.bodyBytes * framingPerBodyByte)) {
			throw new Error(`the answer has more than ${maxFramingBytes} bytes outside its body`);
		}
	}

	/** Handles a clean close of the connection, which ends a body without a length. */
	finish(): void {
		const failure = this.parser.finish();
		if (failure) {
			throw failure;
		}
	}

	private appendBody(bytes: Uint8Array): void {
		this.bodyBytes += bytes.length;
		if (this.bodyBytes > this.maxBodyBytes) {
			throw new Error(`the answer is longer than ${this.maxBodyBytes} bytes`);
		}

		this.bodyReservation.reserve(bytes.length);
		this.body.append(bytes);
	}

	private complete(): void {
		const {head} = this;
		const body = this.body.take();
		this.head = undefined;
		this.bodyBytes = 0;
		this.bodyReservation.dispose();
		if (head && head.status >= firstFinalStatus) {
			this.receivedBytes = this.parser.unreadBytes;
			this.hasStarted = this.receivedBytes > 0;
			this.onAnswer({...head, body});
		}
	}
}

/** Rejects headers that make the end of the body ambiguous, which the library's parser accepts. */
function checkFraming(headers: readonly string[], versionMinor: number): void {
	const lengths = findHeaders(headers, 'content-length');
	if (!lengths.every(value => /^\d+$/v.test(value) && value === lengths[0])) {
		throw new Error('the answer has a malformed Content-Length header');
	}

	const codings = findHeaders(headers, 'transfer-encoding');
	if (codings.length > 0 && (codings.length > 1 || codings[0].toLowerCase() !== 'chunked' || lengths.length > 0 || versionMinor < firstChunkedMinorVersion)) {
		throw new Error('the answer has a malformed Transfer-Encoding header');
	}
}
