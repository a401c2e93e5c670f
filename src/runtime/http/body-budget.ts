import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type BodyShare} from './body-share.js';

/** Limits the total size of the bodies that a node buffers. A body that is buffered alone is never refused, whatever its size. */
export class BodyBudget {
	private heldBytes = 0;

	constructor(private readonly maxBytes: number) {}

	/** Creates the reservation of one body. */
	open(): BodyShare {
		let ownBytes = 0;
		return {
			take: bytes => {
				const othersBytes = this.heldBytes - ownBytes;
				if (othersBytes > 0 && this.heldBytes + bytes > this.maxBytes) {
					throw new KumquatlineError(ErrorKind.Overloaded, `the node already buffers ${othersBytes} bytes of other bodies`, {started: false});
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
