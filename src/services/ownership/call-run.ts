import {Deferred} from '../../base/deferred.js';
import {type OwnReply} from './own-reply.js';

/** An execution in progress and the attempts that wait for it. `onAbandon` is called if all of them end before the execution does. */
export class CallRun {
	private readonly outcome = new Deferred<OwnReply>();
	private waiting = 0;
	private isSettled = false;

	constructor(private readonly onAbandon: () => void) {}

	settle(reply: OwnReply): void {
		this.isSettled = true;
		this.outcome.resolve(reply);
	}

	/** Waits for the outcome; undefined if the attempt's own signal is aborted first. */
	async join(signal: AbortSignal): Promise<OwnReply | undefined> {
		this.waiting++;
		const left = new Deferred<undefined>();
		const leave = () => {
			left.resolve(undefined);
		};

		signal.addEventListener('abort', leave);
		if (signal.aborted) {
			leave();
		}

		try {
			return await Promise.race([this.outcome.promise, left.promise]);
		} finally {
			signal.removeEventListener('abort', leave);
			this.waiting--;
			if (this.waiting === 0 && !this.isSettled) {
				this.onAbandon();
			}
		}
	}
}
