import {type HeldShard} from './held-shard.js';

/** The part of an id space that a run of a node owns by itself, without table, lease or past. */
export function ownShard(key: string): HeldShard {
	return {
		key,
		leaving: undefined,
		mayAct: () => true,
		mayHaveRun: () => false,
	};
}
