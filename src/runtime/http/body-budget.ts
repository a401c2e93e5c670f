import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type BodyReservation} from './body-reservation.js';

/** Limits the total size of the bodies that a node buffers. A body that is buffered alone is never refused, whatever its size. */
export class BodyBudget {
	private bufferedBytes = 0;

	constructor(private readonly maxBytes: number) {}

	/** Creates the reservation of one body. */
	createReservation(): BodyReservation {
		let ownBytes = 0;
		return {
			reserve: bytes => {
				const otherBytes = this.bufferedBytes - ownBytes;
				if (otherBytes > 0 && this.bufferedBytes + bytes > this.maxBytes) {
					throw new KumquatlineError(ErrorKind.Overloaded, `the node already buffers ${otherBytes} bytes of other bodies`, {started: false});
				}

				ownBytes += bytes;
				this.bufferedBytes += bytes;
			},
			dispose: () => {
				this.bufferedBytes -= ownBytes;
				ownBytes = 0;
			},
		};
	}
}
