import {type Disposable} from '../../src/base/disposable.js';
import {type StoreRequests} from './store-requests.js';
import {type StoreState} from './store-state.js';

type WatchQuery = {
	readonly prefix: string;
	readonly after: number;
	readonly maxWaitMs: number;
};

type Reply = (answer: {readonly status: number; readonly body?: unknown}) => void;

/** A long-polling watch of the store stand-in; answered with the first change, or without changes after its maximum wait. */
export class StoreWatch implements Disposable {
	private readonly subscription: Disposable;
	private readonly timer: NodeJS.Timeout;
	private silent = false;

	constructor(state: StoreState, requests: StoreRequests, {prefix, after, maxWaitMs}: WatchQuery, private readonly reply: Reply) {
		this.subscription = state.onDidChange(() => {
			const answer = requests.events(prefix, after);
			if (answer) {
				this.complete(answer);
			}
		});
		this.timer = setTimeout(() => {
			this.complete(requests.watchAnswer([]));
		}, maxWaitMs);
	}

	/** Stops answering, without closing the connection. */
	silence(): void {
		this.silent = true;
	}

	dispose(): void {
		clearTimeout(this.timer);
		this.subscription.dispose();
	}

	private complete(answer: Parameters<Reply>[0]): void {
		if (!this.silent) {
			this.dispose();
			this.reply(answer);
		}
	}
}
