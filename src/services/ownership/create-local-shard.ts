import {type HeldShard} from './held-shard.js';

/** Creates a shard of this incarnation alone, without a table, lease or previous owner. */
export function createLocalShard(key: string): HeldShard {
	return {
		key,
		leaving: undefined,
		isAuthoritative: () => true,
		mayHaveExecuted: () => false,
	};
}
