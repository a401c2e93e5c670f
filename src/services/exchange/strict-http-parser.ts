import {HTTPParser} from 'http-parser-js';

/** The members of the library's parser that are used or overridden here. */
export type HttpParserParts = {
	body_bytes: number | undefined;
	readonly info: {readonly headers: string[]; readonly statusCode: number; readonly shouldKeepAlive: boolean};
	onHeadersComplete: (info: HttpParserParts['info']) => boolean;
	onBody: (bytes: Uint8Array, offset: number, length: number) => void;
	onMessageComplete: () => void;
	state: string;
	execute(bytes: Uint8Array): number | Error;
	finish(): Error | undefined;
	consumeLine(): string | undefined;
	HEADER(): boolean | undefined;
};

const LenientParser = HTTPParser as unknown as new (type: 'RESPONSE') => HttpParserParts;

/** Hexadecimal size, with optional extensions that are ignored. */
const chunkHead = /^([\da-f]{1,8})\s*(?:;.*)?$/iv;

/** Rejects malformed chunk sizes, which the library's parser would take for the end of the body. */
export class StrictHttpParser extends LenientParser {
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
