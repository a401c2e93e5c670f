import {Buffer} from 'node:buffer';

const minBlockBytes = 4096;
const maxBlockBytes = 65_536;

/**
Collects the pieces of a body.

Each piece is a view that retains the received buffer and has an overhead of its own. Unless there is only one piece, pieces are copied
into blocks, so that the memory in use depends on the number of bytes only.
*/
export class BodyCollector {
	/** The only piece so far. */
	private single: Uint8Array | undefined;
	private blocks: Uint8Array[] = [];
	/** Bytes in use of the last block. */
	private lastBlockBytes = 0;

	append(piece: Uint8Array): void {
		if (piece.length === 0) {
			return;
		}

		if (this.blocks.length === 0 && !this.single) {
			this.single = piece;
			return;
		}

		if (this.single) {
			this.copy(this.single);
			this.single = undefined;
		}

		this.copy(piece);
	}

	/** Returns the collected body and starts a new one. */
	take(): Uint8Array {
		const {single, blocks, lastBlockBytes} = this;
		this.single = undefined;
		this.blocks = [];
		this.lastBlockBytes = 0;
		if (single) {
			return single;
		}

		const last = blocks.pop();
		return last ? Buffer.concat([...blocks, last.subarray(0, lastBlockBytes)]) : new Uint8Array();
	}

	private copy(piece: Uint8Array): void {
		for (let offset = 0; offset < piece.length;) {
			const last = this.blocks.at(-1);
			if (!last || this.lastBlockBytes === last.length) {
				this.blocks.push(Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, Math.max(minBlockBytes, 2 * (last?.length ?? 0)))));
				this.lastBlockBytes = 0;
				continue;
			}

			const part = piece.subarray(offset, offset + last.length - this.lastBlockBytes);
			last.set(part, this.lastBlockBytes);
			this.lastBlockBytes += part.length;
			offset += part.length;
		}
	}
}
