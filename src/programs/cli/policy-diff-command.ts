import {command, positional, string} from 'cmd-ts';
import {createPatch} from 'rfc6902';
import {v7 as uuidv7} from 'uuid';
import {z} from 'zod';
import {commonArguments} from './common-arguments.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';
import {readJsonFile} from './read-json-file.js';

const versioned = z.looseObject({version: z.number()});
const preview = z.object({policy: versioned});

/** `kumquatline policy diff FILE`. */
export const policyDiffCommand = command({
	name: 'diff',
	description: 'Print the patch that turns the policy in force into the one in FILE, as input for `policy patch`; it has no operations if they are the same',
	examples: [{description: 'Apply the policy that is under version control', command: 'kumquatline policy diff policy.json | kumquatline policy patch -'}],
	args: {
		...commonArguments,
		file: positional({type: string, displayName: 'FILE', description: 'desired policy as a JSON document, or - for standard input'}),
	},
	async handler({node, timeoutMs, file}): Promise<Output> {
		const desiredDocument = await readJsonFile(file);
		const client = new NodeClient(node, timeoutMs);
		// The node fills in defaults that the document leaves out.
		const desiredPolicy = preview.parse(await client.check('/kumquatline/policy/validate', desiredDocument)).policy;
		const inForce = versioned.parse(await client.get('/kumquatline/policy'));
		const operations = createPatch(inForce, {...desiredPolicy, version: inForce.version});
		const document = {patchId: uuidv7(), baseVersion: inForce.version, operations};
		return {document, text: JSON.stringify(document, undefined, '\t')};
	},
});
