import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type ShardTable} from './shard-table.js';

type TableParams = {readonly service: string};

type TableReply = {readonly table?: ShardTable};

/** Asks a node for the newest shard table of a service that it knows. */
export const tableMethod = new PeerMethod<TableParams, TableReply>('shard-table');
