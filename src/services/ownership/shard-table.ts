import {type Shard} from './shard.js';

/** The owners of a service's ids as one value of the store names them. */
export type ShardTable = {
	readonly service: string;
	/** Revision of the store's key; the higher is the later table. */
	readonly modRevision: number;
	readonly shards: readonly Shard[];
};
