import {command} from 'cmd-ts';
import {CliError} from './cli-error.js';
import {commonArguments} from './common-arguments.js';
import {ExitStatus} from './exit-status.js';
import {NodeClient} from './node-client.js';
import {nodeStatus} from './node-status.js';
import {type Output} from './output.js';
import {patchResult} from './patch-result.js';

/** `kumquatline policy restore`. */
export const policyRestoreCommand = command({
	name: 'restore',
	description: 'Write the policy in force at the node to a store that has lost it; fails if another node has a later version',
	args: commonArguments,
	async handler({node, timeoutMs}): Promise<Output> {
		const client = new NodeClient(node, timeoutMs);
		const {policyVersion, members} = nodeStatus.parse(await client.get('/kumquatline/status'));
		const later = members.find(member => member.policyVersion > policyVersion);
		if (later) {
			throw new CliError(ExitStatus.PolicyConflict, `not restored: ${later.nodeId} (${later.address}:${later.callerPort}) has version ${later.policyVersion}; this node has ${policyVersion}`);
		}

		const result = patchResult.parse(await client.change('/kumquatline/policy/restore', {}));
		return {document: result, text: `version ${result.version} was restored to the store`};
	},
});
