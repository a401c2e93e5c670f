import {type Shard} from './shard.js';

/** Owners of a service's ids, as recorded in one value of the store. */
export type ShardTable = {
	readonly service: string;
	/** Revision of the store's key; a later table has a higher one. */
	readonly modRevision: number;
	readonly shards: readonly Shard[];
};
