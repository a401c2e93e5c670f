import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type ShardTable} from './shard-table.js';

type TableParams = {readonly service: string};

type TableReply = {readonly table?: ShardTable};

/** Asks a node for the newest shard table that it knows of a service. */
export const tableMethod = new PeerMethod<TableParams, TableReply>('shard-table');
