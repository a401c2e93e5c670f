import {type Member} from '../membership/member.js';

/** How many shards each of a service's upstreams should own: in proportion to its slots, by the largest remainder method. */
export function targetShardCounts(shardCount: number, upstreams: readonly Member[]): ReadonlyMap<string, number> {
	const weightOf = (member: Member) => Math.max(1, member.slots);
	const totalWeight = upstreams.reduce((sum, member) => sum + weightOf(member), 0);
	const allocations = upstreams.map(member => {
		const exact = shardCount * weightOf(member) / totalWeight;
		return {member, count: Math.floor(exact), remainder: exact - Math.floor(exact)};
	});
	let left = shardCount - allocations.reduce((sum, allocation) => sum + allocation.count, 0);
	const byRemainder = [...allocations].sort((one, other) =>
		other.remainder - one.remainder || (one.member.nodeId < other.member.nodeId ? -1 : 1));
	for (const allocation of byRemainder) {
		allocation.count += left > 0 ? 1 : 0;
		left--;
	}

	return new Map(allocations.map(allocation => [allocation.member.nodeId, allocation.count]));
}
