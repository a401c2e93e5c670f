import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CarriedEntry} from './carried-entry.js';
import {type RetryCount} from './retry-count.js';

export type TakeShardParams = {
	/** Names the hand-over in the shard table; what was taken is used only once the table names it. */
	readonly handOverId: string;
	readonly service: string;
	readonly index: number;
	readonly entries: readonly CarriedEntry[];
	readonly counts: readonly RetryCount[];
};

/** Gives the next owner a part of what the present one knows of a shard; several calls may carry one shard. */
export const takeShardMethod = new PeerMethod<TakeShardParams, {readonly isTaken: boolean}>('take-shard');
