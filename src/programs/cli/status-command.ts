import {command, flag} from 'cmd-ts';
import {commonArguments} from './common-arguments.js';
import {flattenStatus} from './flatten-status.js';
import {formatTable} from './format-table.js';
import {NodeClient} from './node-client.js';
import {type Output} from './output.js';
import {readStatuses} from './read-statuses.js';
import {type ServiceStatus} from './service-status.js';
import {summarizeServices} from './summarize-services.js';

const headings = ['SERVICE', 'ZONE', 'NODES', 'LIMIT', 'RUNNING', 'QUEUED', 'WAIT MS', 'THRESHOLD', 'RETRIES', 'DENIED', 'UNKNOWN', 'POLICY', 'STORE'];
const refusedHeadings = ['SERVICE', 'ZONE', 'CALLER AND KIND', 'COUNT'];
/** Fields that another command shows. */
const omittedFields = new Set(['members']);

/** `kumquatline status`. */
export const statusCommand = command({
	name: 'status',
	description: 'Show load, refusals, retries, unknown outcomes, policy version and reachability of the store for each service and availability zone',
	args: {
		...commonArguments,
		oneNode: flag({long: 'one-node', description: 'show the complete status of the queried node instead'}),
	},
	async handler({node, timeoutMs, oneNode}): Promise<Output> {
		return oneNode ? showNode(node, timeoutMs) : showServices(node, timeoutMs);
	},
});

async function showNode(node: string, timeoutMs: number): Promise<Output> {
	const document = await new NodeClient(node, timeoutMs).get('/kumquatline/status') as Record<string, unknown>;
	const shown = Object.fromEntries(Object.entries(document).filter(([name]) => !omittedFields.has(name)));
	return {document, text: formatTable(['FIELD', 'VALUE'], flattenStatus(shown))};
}

async function showServices(node: string, timeoutMs: number): Promise<Output> {
	const {statuses, silent} = await readStatuses(node, timeoutMs);
	const services = summarizeServices(statuses);
	const parts = [formatTable(headings, services.map(service => toRow(service)))];
	const refused = services.flatMap(service => toRefusedRows(service));
	if (refused.length > 0) {
		parts.push(formatTable(refusedHeadings, refused));
	}

	if (silent.length > 0) {
		parts.push(`No answer from ${silent.join(', ')}`);
	}

	return {document: {services, silent}, text: parts.join('\n\n')};
}

function toRow(status: ServiceStatus): string[] {
	const numbers = [
		status.nodes,
		status.limit,
		status.inFlight,
		status.queued,
		Math.round(status.queueWaitMs),
		Math.round(status.threshold * 100) / 100,
		status.retriesGranted,
		status.retriesDenied,
		status.unknownOutcomes,
		status.policyVersion,
	];
	return [status.service, status.availabilityZone, ...numbers.map(String), `${status.reachStore}/${status.nodes}`];
}

function toRefusedRows({service, availabilityZone, refused}: ServiceStatus): string[][] {
	return Object.entries(refused).map(([name, count]) => [service, availabilityZone, name, String(count)]);
}
