import {command} from 'cmd-ts';
import {commonArguments} from './common-arguments.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';

/** `kumquatline policy show`. */
export const policyShowCommand = command({
	name: 'show',
	description: 'Print the policy in force at the node, as a document that `policy diff` accepts',
	args: commonArguments,
	async handler({node, timeoutMs}): Promise<Output> {
		const document = await new NodeClient(node, timeoutMs).get('/kumquatline/policy');
		return {document, text: JSON.stringify(document, undefined, '\t')};
	},
});
