import {createHash} from 'node:crypto';

/** Shard of an id: spread evenly whatever the ids look like. */
export function shardIndex(service: string, requestId: string, shardCount: number): number {
	const digest = createHash('sha256').update(JSON.stringify([service, requestId])).digest();
	return digest.readUInt32BE(0) % shardCount;
}
