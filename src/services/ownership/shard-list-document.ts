import {z} from 'zod';

const shard = z.object({
	nodeId: z.string(),
	incarnation: z.string(),
	epoch: z.number().int().min(1),
	takenOverAtMs: z.number().int().min(0),
	handOverId: z.string().optional(),
});

/** Value of the store's key for a service: its shards in the order of their indexes. */
export const shardListDocument = z.array(shard).min(1);
