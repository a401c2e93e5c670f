import {command} from 'cmd-ts';
import {z} from 'zod';
import {commonArguments} from './common-arguments.js';
import {formatTable} from './format-table.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';

const history = z.object({
	version: z.number(),
	patches: z.array(z.looseObject({
		version: z.number(),
		patchId: z.string(),
		acceptedAtMs: z.number(),
		operations: z.array(z.looseObject({op: z.string(), path: z.string()})).optional(),
	})),
});

/** `kumquatline policy history`. */
export const policyHistoryCommand = command({
	name: 'history',
	description: 'List the latest versions with the patches that created them',
	args: commonArguments,
	async handler({node, timeoutMs}): Promise<Output> {
		const document = history.parse(await new NodeClient(node, timeoutMs).get('/kumquatline/policy/history'));
		const rows = document.patches.map(({version, patchId, acceptedAtMs, operations}) => [
			String(version),
			new Date(acceptedAtMs).toISOString(),
			patchId,
			(operations ?? []).map(({op, path}) => `${op} ${path}`).join(', '),
		]);
		return {document, text: formatTable(['VERSION', 'ACCEPTED', 'PATCH ID', 'OPERATIONS'], rows)};
	},
});
