import {HTTPParser} from 'http-parser-js';
import {isBodyless} from '../../runtime/http/is-bodyless.js';

/** Head of an answer as the library passes it on. */
type AnswerHead = {
	headers: string[];
	versionMajor: number;
	versionMinor: number;
	statusCode: number;
	shouldKeepAlive: boolean;
};

/** The members of the library's parser that are used or overridden here. */
type HttpParserParts = {
	body_bytes: number | undefined;
	readonly info: AnswerHead;
	/** Position in the piece that is parsed, and its end. */
	readonly offset: number;
	readonly end: number;
	onHeadersComplete: (info: AnswerHead) => boolean;
	onBody: (bytes: Uint8Array, offset: number, length: number) => void;
	onMessageComplete: () => void;
	state: string;
	execute(bytes: Uint8Array): number | Error;
	finish(): Error | undefined;
	consumeLine(): string | undefined;
	HEADER(): boolean | undefined;
	parseHeader(line: string, headers: string[]): void;
};

const LenientParser = HTTPParser as unknown as new (type: 'RESPONSE') => HttpParserParts;

// The library's ASCII decoder drops the highest bit, which turns other characters into separators.
HTTPParser.encoding = 'latin1';

const statusLine = /^HTTP\/1\.([01]) ([1-5]\d{2})(?: [\t\u0020-\u007E\u0080-\u00FF]*)?$/v;
/** Name, colon and value without control characters. A folded line has no name. */
const headerLine = /^[!#$%\u0026'*+.^_`\|~\dA-Za-z\-]+:[\t\u0020-\u007E\u0080-\u00FF]*$/v;
/** Start of another answer within a line, left by an answer that broke off within that line. */
const innerStatusLine = /HTTP\/1\.[01] [1-5]\d{2}(?: |$)/v;
/** Hexadecimal size, with optional extensions that are ignored. */
const chunkHead = /^([\da-f]{1,8})[\t ]*(?:;.*)?$/iv;

/** Rejects malformed answers (RFC 9112) that the library's parser accepts by skipping or reinterpreting the malformed part. */
export class StrictHttpParser extends LenientParser {
	/** Number of bytes of the piece being parsed that lie behind the current position. */
	get unreadBytes(): number {
		return this.end - this.offset;
	}

	override parseHeader(line: string, headers: string[]): void {
		if (!headerLine.test(line) || innerStatusLine.test(line)) {
			throw new Error('the answer has a malformed header line');
		}

		super.parseHeader(line, headers);
	}

	protected RESPONSE_LINE(): void {
		const line = this.consumeLine();
		if (line === undefined || line === '') {
			return;
		}

		const match = statusLine.exec(line);
		if (!match || innerStatusLine.test(line.slice(1))) {
			throw new Error('the answer has a malformed status line');
		}

		const [, minorVersion, status] = match;
		this.info.versionMajor = 1;
		this.info.versionMinor = Number(minorVersion);
		this.info.statusCode = Number(status);
		if (isBodyless(this.info.statusCode)) {
			this.body_bytes = 0;
		}

		this.state = 'HEADER';
	}

	protected BODY_CHUNKHEAD(): void {
		const line = this.consumeLine();
		if (line === undefined) {
			return;
		}

		const match = chunkHead.exec(line);
		if (!match) {
			throw new Error('the answer has a malformed chunk size');
		}

		this.body_bytes = Number.parseInt(match[1], 16);
		this.state = this.body_bytes === 0 ? 'BODY_CHUNKTRAILERS' : 'BODY_CHUNK';
	}
}
