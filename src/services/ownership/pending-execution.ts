import {Deferred} from '../../base/deferred.js';
import {type OwnerReply} from './owner-reply.js';

/** An execution in progress and the attempts that wait for it. `onAbandon` is called if all of them end before the execution does. */
export class PendingExecution {
	private readonly outcome = new Deferred<OwnerReply>();
	private waiting = 0;
	private isSettled = false;

	constructor(private readonly onAbandon: () => void) {}

	settle(reply: OwnerReply): void {
		this.isSettled = true;
		this.outcome.resolve(reply);
	}

	/** Waits for the outcome; undefined if the attempt's own signal is aborted first. */
	async join(signal: AbortSignal): Promise<OwnerReply | undefined> {
		this.waiting++;
		const left = new Deferred<undefined>();
		const stopWaiting = () => {
			left.resolve(undefined);
		};

		signal.addEventListener('abort', stopWaiting);
		if (signal.aborted) {
			stopWaiting();
		}

		try {
			return await Promise.race([this.outcome.promise, left.promise]);
		} finally {
			signal.removeEventListener('abort', stopWaiting);
			this.waiting--;
			if (this.waiting === 0 && !this.isSettled) {
				this.onAbandon();
			}
		}
	}
}
