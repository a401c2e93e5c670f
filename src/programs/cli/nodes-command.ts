import {command} from 'cmd-ts';
import {commonArguments} from './common-arguments.js';
import {formatTable} from './format-table.js';
import {NodeClient} from './node-client.js';
import {nodeStatus} from './node-status.js';
import {type Output} from './output.js';

/** `kumquatline nodes`. */
export const nodesCommand = command({
	name: 'nodes',
	description: 'List all nodes with their state as seen by the queried node',
	args: commonArguments,
	async handler({node, timeoutMs}): Promise<Output> {
		const {members} = nodeStatus.parse(await new NodeClient(node, timeoutMs).get('/kumquatline/status'));
		const rows = members
			.toSorted((left, right) => left.availabilityZone.localeCompare(right.availabilityZone) || left.nodeId.localeCompare(right.nodeId))
			.map(member => [
				member.nodeId,
				member.region,
				member.availabilityZone,
				member.state,
				member.service ?? '-',
				String(member.slots),
				String(member.policyVersion),
				`${member.address}:${member.callerPort}`,
			]);
		return {document: members, text: formatTable(['NODE', 'REGION', 'ZONE', 'STATE', 'SERVICE', 'SLOTS', 'POLICY', 'ADDRESS'], rows)};
	},
});
