import {type Importance} from '../policy/importance.js';

/** Context that a root request passes on to all calls made for it. */
export type CallContext = {
	/** Id of the root request; the retries of all calls made for it are counted against it. */
	readonly rootId: string;
	/** Service whose shards own the root id; undefined if `rootOwner` minted it. */
	readonly rootService?: string;
	/** Incarnation of the node that minted the root id itself and therefore owns it. */
	readonly rootOwner?: {readonly nodeId: string; readonly incarnation: string};
	/** Name of the caller class in the policy. */
	readonly caller: string;
	readonly importance: Importance;
	/** 1 at the first service, one more at each inner call. */
	readonly depth: number;
	/** When the attempt arrived, by the entry node's wall clock in milliseconds since 1970. */
	readonly enteredAtMs: number;
	/** Wall-clock time after which no part of the attempt may start. */
	readonly deadlineAtMs: number;
};
