import {command, positional, string} from 'cmd-ts';
import {commonArguments} from './common-arguments.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';
import {patchResult} from './patch-result.js';
import {readJsonFile} from './read-json-file.js';

/** `kumquatline policy init FILE`. */
export const policyInitCommand = command({
	name: 'init',
	description: 'Create the first policy, version 1, from a complete document; fails if there is a policy already',
	examples: [{description: 'Create the policy from a file under version control', command: 'kumquatline policy init policy.json'}],
	args: {
		...commonArguments,
		file: positional({type: string, displayName: 'FILE', description: 'JSON document, or - for standard input'}),
	},
	async handler({node, timeoutMs, file}): Promise<Output> {
		const document = await readJsonFile(file);
		const result = patchResult.parse(await new NodeClient(node, timeoutMs).change('/kumquatline/policy/init', document));
		return {document: result, text: `version ${result.version} ${result.repeated ? 'was already accepted' : 'accepted'}`};
	},
});
