import {command, positional, string} from 'cmd-ts';
import {z} from 'zod';
import {commonArguments} from './common-arguments.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';
import {readJsonFile} from './read-json-file.js';

const preview = z.object({version: z.number(), policy: z.unknown()});

/** `kumquatline policy validate FILE`. */
export const policyValidateCommand = command({
	name: 'validate',
	description: 'Check a patch against the policy in force, or a complete document, without changing anything',
	args: {
		...commonArguments,
		file: positional({type: string, displayName: 'FILE', description: 'patch or document as JSON, or - for standard input'}),
	},
	async handler({node, timeoutMs, file}): Promise<Output> {
		const change = await readJsonFile(file);
		const document = preview.parse(await new NodeClient(node, timeoutMs).check('/kumquatline/policy/validate', change));
		return {document, text: `valid: would become version ${document.version}`};
	},
});
