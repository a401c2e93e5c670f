import {type Member} from '../membership/member.js';
import {type ShardTable} from './shard-table.js';
import {targetShardCounts} from './target-shard-counts.js';

/** Moves of the shards that an owner has above its target count to upstreams that are below theirs. */
export function surplusMoves(table: ShardTable, own: readonly number[], nodeId: string, upstreams: readonly Member[]): ReadonlyMap<number, Member> {
	const targetCounts = targetShardCounts(table.shards.length, upstreams);
	const counts = new Map<string, number>();
	for (const owner of table.shards) {
		counts.set(owner.nodeId, (counts.get(owner.nodeId) ?? 0) + 1);
	}

	const surplus = own.slice(0, Math.max(0, own.length - (targetCounts.get(nodeId) ?? 0)));
	const recipients = upstreams.flatMap(member =>
		Array.from({length: Math.max(0, targetCounts.get(member.nodeId)! - (counts.get(member.nodeId) ?? 0))}, () => member));
	return new Map(recipients.slice(0, surplus.length).map((recipient, position) => [surplus[position], recipient]));
}
