import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type BodyShare} from './body-share.js';

/** Bounds what a node holds of bodies in all; a single one is never refused for it, however large it may be. */
export class BodyBudget {
	private heldBytes = 0;

	constructor(private readonly maxBytes: number) {}

	/** Begins to count for one request. */
	open(): BodyShare {
		let ownBytes = 0;
		return {
			take: bytes => {
				const othersBytes = this.heldBytes - ownBytes;
				if (othersBytes > 0 && this.heldBytes + bytes > this.maxBytes) {
					throw new KumquatlineError(ErrorKind.Overloaded, `the node holds ${othersBytes} bytes of other bodies`, {started: false});
				}

				ownBytes += bytes;
				this.heldBytes += bytes;
			},
			dispose: () => {
				this.heldBytes -= ownBytes;
				ownBytes = 0;
			},
		};
	}
}
