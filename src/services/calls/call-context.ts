import {type Importance} from '../policy/importance.js';

/** What travels with a request down its chain of calls. */
export type CallContext = {
	/** Id of the caller's request; all retries of the chain are counted against it. */
	readonly rootId: string;
	/** Service whose shards own the root id; undefined when `rootOwner` minted it. */
	readonly rootService?: string;
	/** Run of a node that minted the root id itself and so owns it. */
	readonly rootOwner?: {readonly nodeId: string; readonly incarnation: string};
	/** Name of the caller's class in the policy. */
	readonly caller: string;
	readonly importance: Importance;
	/** 1 at the first service, one more at each sub-call. */
	readonly depth: number;
	/** Wall clock of the entry node when the attempt arrived, in milliseconds since 1970. */
	readonly enteredAtMs: number;
	/** Wall clock after which nothing of the attempt may start. */
	readonly deadlineAtMs: number;
};
