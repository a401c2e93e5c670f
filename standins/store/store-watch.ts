import {type Disposable} from '../../src/base/disposable.js';
import {type StoreRequests} from './store-requests.js';
import {type StoreState} from './store-state.js';

type WatchQuery = {
	readonly prefix: string;
	readonly after: number;
	readonly maxWaitMs: number;
};

type WatchAnswer = {readonly status: number; readonly body?: unknown};

type WatchResponse = {
	readonly sendAnswer: (answer: WatchAnswer) => void;
	/** Closes the connection without an answer. */
	readonly cut: () => void;
};

/** A long-polling watch of the store stand-in; answered with the first change, or without changes after its maximum wait. */
export class StoreWatch implements Disposable {
	private readonly subscription: Disposable;
	private readonly timer: NodeJS.Timeout;
	private silent = false;

	constructor(state: StoreState, requests: StoreRequests, {prefix, after, maxWaitMs}: WatchQuery, private readonly response: WatchResponse) {
		this.subscription = state.onDidChange(() => {
			const answer = requests.events(prefix, after);
			if (answer) {
				this.complete(answer);
			}
		});
		this.timer = setTimeout(() => {
			this.complete(requests.events(prefix, after) ?? requests.watchAnswer([]));
		}, maxWaitMs);
	}

	/** Stops answering, without closing the connection. */
	silence(): void {
		this.silent = true;
	}

	/** Ends the watch by closing its connection. */
	cut(): void {
		this.dispose();
		this.response.cut();
	}

	dispose(): void {
		clearTimeout(this.timer);
		this.subscription.dispose();
	}

	private complete(answer: WatchAnswer): void {
		if (!this.silent) {
			this.dispose();
			this.response.sendAnswer(answer);
		}
	}
}
