import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type TransferredEntry} from './transferred-entry.js';
import {type RetryCount} from './retry-count.js';

export type TakeShardParams = {
	/** Id of the hand-over; the successor uses the transferred state only once the shard table names this id. */
	readonly handOverId: string;
	readonly service: string;
	readonly index: number;
	readonly entries: readonly TransferredEntry[];
	readonly counts: readonly RetryCount[];
};

/** Transfers a part of a shard's state to the successor; the state of one shard may take several calls. */
export const takeShardMethod = new PeerMethod<TakeShardParams, {readonly isTaken: boolean}>('take-shard');
