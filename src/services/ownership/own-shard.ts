import {type HeldShard} from './held-shard.js';

/** Creates a shard of this incarnation alone, without a table, lease or previous owner. */
export function ownShard(key: string): HeldShard {
	return {
		key,
		leaving: undefined,
		mayAct: () => true,
		mayHaveRun: () => false,
	};
}
