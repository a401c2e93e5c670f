import {setTimeout as sleep} from 'node:timers/promises';
import {command, positional} from 'cmd-ts';
import {type z} from 'zod';
import {boundedInteger} from '../../runtime/settings/bounded-integer.js';
import {CliError} from './cli-error.js';
import {commonArguments} from './common-arguments.js';
import {ExitStatus} from './exit-status.js';
import {NodeClient} from './node-client.js';
import {nodeStatus} from './node-status.js';
import {type Output} from './output.js';

type Status = z.infer<typeof nodeStatus>;

const pollIntervalMs = 100;
const reachableStates = new Set(['joined', 'serving', 'draining']);

/** `kumquatline policy wait VERSION`. */
export const policyWaitCommand = command({
	name: 'wait',
	description: 'Wait until at least this version is in force at every node that the queried node can reach',
	args: {
		...commonArguments,
		version: positional({type: boundedInteger('version', 1, Number.MAX_SAFE_INTEGER), displayName: 'VERSION', description: 'version to wait for'}),
	},
	async handler({node, timeoutMs, version}): Promise<Output> {
		const deadlineMs = performance.now() + timeoutMs;
		let behind: readonly string[] = [];
		for (;;) {
			const status = await readStatus(node, deadlineMs, behind, version);
			behind = findNodesBehind(status, version);
			if (behind.length === 0) {
				return report(status, version);
			}

			if (performance.now() + pollIntervalMs >= deadlineMs) {
				throw timedOutError(version, behind);
			}

			await sleep(pollIntervalMs);
		}
	},
});

/** Reads the status of a node; if the time runs out after an earlier answer, the nodes that were behind then are the reason. */
async function readStatus(node: string, deadlineMs: number, behind: readonly string[], version: number): Promise<Status> {
	try {
		return nodeStatus.parse(await new NodeClient(node, deadlineMs - performance.now()).get('/kumquatline/status'));
	} catch (error) {
		throw behind.length > 0 && performance.now() >= deadlineMs ? timedOutError(version, behind) : error;
	}
}

function timedOutError(version: number, behind: readonly string[]): CliError {
	return new CliError(ExitStatus.WaitTimedOut, `version ${version} is not yet in force at ${behind.join(', ')}`);
}

function findNodesBehind({self, policyVersion, members}: Status, version: number): string[] {
	const own = policyVersion < version ? [self.nodeId] : [];
	const others = members
		.filter(member => member.nodeId !== self.nodeId && reachableStates.has(member.state) && member.policyVersion < version)
		.map(member => member.nodeId);
	return [...own, ...others];
}

function report({self, members}: Status, version: number): Output {
	const others = members.filter(member => member.nodeId !== self.nodeId);
	const reached = others.filter(member => reachableStates.has(member.state)).length + 1;
	const unreachable = others.filter(member => member.state === 'suspect').map(member => member.nodeId);
	const suffix = unreachable.length > 0 ? `; unreachable: ${unreachable.join(', ')}` : '';
	return {
		document: {version, reached, unreachable},
		text: `version ${version} is in force at ${reached} nodes${suffix}`,
	};
}
