import {Buffer} from 'node:buffer';
import {type BodyShare} from '../../runtime/http/body-share.js';
import {StrictHttpParser} from './strict-http-parser.js';

export type ParsedAnswer = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: Uint8Array;
	/** Whether the connection may carry another request. */
	readonly keepsAlive: boolean;
};

type Head = Pick<ParsedAnswer, 'status' | 'headers' | 'keepsAlive'>;

/** Most bytes of an answer that are no body: heads, interim answers included, sizes of chunks and trailers. */
const maxFramingBytes = 131_072;
/** Bytes of framing that each byte of a body may have besides: chunks of a single byte take five. */
const framingPerBodyByte = 8;
/** Statuses below are interim: the answer itself follows. */
const firstFinalStatus = 200;

/** Reads the answers of one connection to a backend server, however they are framed. */
export class AnswerParser {
	private readonly parser = new StrictHttpParser('RESPONSE');
	private head: Head | undefined;
	private chunks: Uint8Array[] = [];
	private bodyBytes = 0;
	private receivedBytes = 0;
	private skipsBody = false;
	private hasBegun = false;

	constructor(private readonly maxBodyBytes: number, private readonly share: BodyShare, private readonly onAnswer: (answer: ParsedAnswer) => void) {
		this.parser.onHeadersComplete = ({statusCode, headers, shouldKeepAlive}) => {
			checkLength(headers);
			this.head = {status: statusCode, headers, keepsAlive: shouldKeepAlive};
			return this.skipsBody;
		};

		this.parser.onBody = (bytes, offset, length) => {
			this.takeBody(bytes.subarray(offset, offset + length));
		};

		this.parser.onMessageComplete = () => {
			this.complete();
		};
	}

	/** Whether part of an answer has come. */
	get isInside(): boolean {
		return this.hasBegun;
	}

	/** The next answer belongs to a HEAD request, and so has no body, or to another. */
	expect(skipsBody: boolean): void {
		this.skipsBody = skipsBody;
	}

	/** Takes bytes; throws when they are no answer or one that is too long. */
	push(bytes: Uint8Array): void {
		this.hasBegun = true;
		this.receivedBytes += bytes.length;
		const result = this.parser.execute(bytes);
		if (typeof result !== 'number') {
			throw result;
		}

		if (this.receivedBytes - this.bodyBytes > maxFramingBytes + (this.bodyBytes * framingPerBodyByte)) {
			throw new Error(`more than ${maxFramingBytes} bytes that are no body`);
		}
	}

	/** The connection was closed cleanly: the end of a body without a length. */
	finish(): void {
		const failure = this.parser.finish();
		if (failure) {
			throw failure;
		}
	}

	private takeBody(bytes: Uint8Array): void {
		this.bodyBytes += bytes.length;
		if (this.bodyBytes > this.maxBodyBytes) {
			throw new Error(`the answer is longer than ${this.maxBodyBytes} bytes`);
		}

		this.share.take(bytes.length);
		this.chunks.push(bytes);
	}

	private complete(): void {
		const {head, chunks} = this;
		this.head = undefined;
		this.chunks = [];
		this.bodyBytes = 0;
		this.share.dispose();
		if (head && head.status >= firstFinalStatus) {
			this.receivedBytes = 0;
			this.hasBegun = false;
			this.onAnswer({...head, body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)});
		}
	}
}

function checkLength(headers: readonly string[]): void {
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index].toLowerCase() === 'content-length' && !/^\d+$/v.test(headers[index + 1])) {
			throw new Error('malformed length');
		}
	}
}
