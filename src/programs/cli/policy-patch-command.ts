import {
	command, number, option, optional, positional, string,
} from 'cmd-ts';
import {v7 as uuidv7} from 'uuid';
import {z} from 'zod';
import {CliError} from './cli-error.js';
import {commonArguments} from './common-arguments.js';
import {ExitStatus} from './exit-status.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';
import {patchResult} from './patch-result.js';
import {readJsonFile} from './read-json-file.js';

const patchFile = z.union([
	z.array(z.unknown()).transform(operations => ({operations, patchId: undefined, baseVersion: undefined})),
	z.strictObject({patchId: z.string().optional(), baseVersion: z.number().optional(), operations: z.array(z.unknown())}),
]);

/** `kumquatline policy patch FILE`. */
export const policyPatchCommand = command({
	name: 'patch',
	description: 'Submit a patch; either all of it is accepted, as the version after its base version, or all of it is rejected',
	examples: [
		{description: 'Submit a file with patchId, baseVersion and operations', command: 'kumquatline policy patch patch.json'},
		{description: 'Submit a plain list of JSON Patch operations', command: 'kumquatline policy patch operations.json --base-version 41'},
	],
	args: {
		...commonArguments,
		patchId: option({
			long: 'patch-id',
			type: optional(string),
			description: 'id under which the patch can be submitted again; generated if neither this flag nor the file sets one',
		}),
		baseVersion: option({
			long: 'base-version',
			type: optional(number),
			description: 'version that the patch is based on; required if the file does not set it',
		}),
		file: positional({type: string, displayName: 'FILE', description: 'patch or JSON Patch operations (RFC 6902), or - for standard input'}),
	},
	async handler({node, timeoutMs, file, patchId, baseVersion}): Promise<Output> {
		const content = patchFile.safeParse(await readJsonFile(file));
		if (!content.success) {
			throw new CliError(ExitStatus.UsageInvalid, `${file}: expected a patch with operations or a list of operations`);
		}

		const patch = {
			patchId: patchId ?? content.data.patchId ?? uuidv7(),
			baseVersion: baseVersion ?? content.data.baseVersion,
			operations: content.data.operations,
		};
		if (patch.baseVersion === undefined) {
			throw new CliError(ExitStatus.UsageInvalid, 'the patch has no base version: pass --base-version');
		}

		if (patch.operations.length === 0) {
			return {document: {version: patch.baseVersion, unchanged: true}, text: 'the patch has no operations: nothing to change'};
		}

		return submit(new NodeClient(node, timeoutMs), patch);
	},
});

async function submit(client: NodeClient, patch: {readonly patchId: string}): Promise<Output> {
	const {patchId} = patch;
	try {
		const result = patchResult.parse(await client.change('/kumquatline/policy/patch', patch));
		const text = `version ${result.version} ${result.repeated ? 'was already accepted' : 'accepted'} (patch id ${patchId})`;
		return {document: {...result, patchId}, text};
	} catch (error) {
		if (error instanceof CliError && error.exitStatus === ExitStatus.OutcomeUnknown) {
			throw new CliError(error.exitStatus, `${error.message}\nsubmit the patch again with --patch-id ${patchId}`, error.kind);
		}

		throw error;
	}
}
