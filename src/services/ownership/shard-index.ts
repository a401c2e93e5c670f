import {createHash} from 'node:crypto';

/** Shard of an id; ids of any form are distributed evenly. */
export function shardIndex(service: string, requestId: string, shardCount: number): number {
	const digest = createHash('sha256').update(JSON.stringify([service, requestId])).digest();
	return digest.readUInt32BE(0) % shardCount;
}
