import {type Member} from '../membership/member.js';
import {type Shard} from './shard.js';
import {targetShardCounts} from './target-shard-counts.js';

/**
Chooses a new owner for each shard that has none (`undefined`): always the upstream that is furthest below its target count.
All nodes that see the same upstreams get the same result.
*/
export function reassignShards(owners: ReadonlyArray<Shard | undefined>, upstreams: readonly Member[]): readonly Member[] {
	const deficits = new Map(targetShardCounts(owners.length, upstreams));
	for (const owner of owners) {
		const deficit = owner && deficits.get(owner.nodeId);
		if (deficit !== undefined) {
			deficits.set(owner!.nodeId, deficit - 1);
		}
	}

	const byNodeId = [...upstreams].sort((one, other) => one.nodeId < other.nodeId ? -1 : 1);
	const chosen: Member[] = [];
	for (const owner of owners) {
		if (owner) {
			continue;
		}

		const largestDeficit = Math.max(...deficits.values());
		const recipient = byNodeId.find(({nodeId}) => deficits.get(nodeId) === largestDeficit)!;
		deficits.set(recipient.nodeId, deficits.get(recipient.nodeId)! - 1);
		chosen.push(recipient);
	}

	return chosen;
}
