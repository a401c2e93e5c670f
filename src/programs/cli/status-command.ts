import {command} from 'cmd-ts';
import {commonArguments} from './common-arguments.js';
import {flattenStatus} from './flatten-status.js';
import {formatTable} from './format-table.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';

/** Has a command of its own. */
const leftOut = new Set(['members']);

/** `kumquatline status`. */
export const statusCommand = command({
	name: 'status',
	description: 'Show what the asked node says of itself: policy, store, shards, load and metrics',
	args: commonArguments,
	async handler({node, timeoutMs}): Promise<Output> {
		const document = await new NodeClient(node, timeoutMs).get('/kumquatline/status') as Record<string, unknown>;
		const shown = Object.fromEntries(Object.entries(document).filter(([name]) => !leftOut.has(name)));
		return {document, text: formatTable(['WHAT', 'VALUE'], flattenStatus(shown))};
	},
});
