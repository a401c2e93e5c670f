import {type z} from 'zod';
import {NodeClient} from './node-client.js';
import {fullNodeStatus} from './full-node-status.js';

type NodeStatus = z.infer<typeof fullNodeStatus>;

/** Number of nodes that are queried at once. */
const batchSize = 32;
const goneStates = new Set(['dead', 'left']);

/** Reads the status of every node that the queried node knows; `silent` names those that do not answer. */
export async function readStatuses(node: string, timeoutMs: number): Promise<{statuses: NodeStatus[]; silent: string[]}> {
	const first = fullNodeStatus.parse(await new NodeClient(node, timeoutMs).get('/kumquatline/status'));
	const others = first.members.filter(member => member.nodeId !== first.self.nodeId && !goneStates.has(member.state));
	const statuses = [first];
	const silent: string[] = [];
	for (let start = 0; start < others.length; start += batchSize) {
		const batch = others.slice(start, start + batchSize);
		const results = await Promise.allSettled(batch.map(async ({address, callerPort}) => readStatus(address, callerPort, timeoutMs)));
		for (const [index, result] of results.entries()) {
			if (result.status === 'fulfilled') {
				statuses.push(result.value);
			} else {
				silent.push(batch[index].nodeId);
			}
		}
	}

	return {statuses, silent};
}

async function readStatus(address: string, callerPort: number, timeoutMs: number): Promise<NodeStatus> {
	const host = address.includes(':') ? `[${address}]` : address;
	return fullNodeStatus.parse(await new NodeClient(`http://${host}:${callerPort}`, timeoutMs).get('/kumquatline/status'));
}
