import {type Member} from '../membership/member.js';
import {type Shard} from './shard.js';
import {shareShards} from './share-shards.js';

/**
Chooses a new owner for each shard that has none (`undefined`): always the upstream that is furthest below its target count.
All nodes that see the same upstreams get the same result.
*/
export function reassignShards(owners: ReadonlyArray<Shard | undefined>, upstreams: readonly Member[]): readonly Member[] {
	const lacking = new Map(shareShards(owners.length, upstreams));
	for (const owner of owners) {
		const lackingOfOwner = owner && lacking.get(owner.nodeId);
		if (lackingOfOwner !== undefined) {
			lacking.set(owner!.nodeId, lackingOfOwner - 1);
		}
	}

	const byNodeId = [...upstreams].sort((one, other) => one.nodeId < other.nodeId ? -1 : 1);
	const chosen: Member[] = [];
	for (const owner of owners) {
		if (owner) {
			continue;
		}

		const mostLacking = Math.max(...lacking.values());
		const neediest = byNodeId.find(({nodeId}) => lacking.get(nodeId) === mostLacking)!;
		lacking.set(neediest.nodeId, lacking.get(neediest.nodeId)! - 1);
		chosen.push(neediest);
	}

	return chosen;
}
