import {applyPatch} from 'rfc6902';
import {type z} from 'zod';
import {ErrorKind} from '../../base/error-kind.js';
import {parsePolicy} from './parse-policy.js';
import {type patchRecord} from './patch-record.js';
import {type Policy} from './policy.js';
import {policyRejection} from './policy-rejection.js';

type PatchRecord = z.infer<typeof patchRecord>;
type PatchOperation = NonNullable<PatchRecord['operations']>[number];

const maxRecords = 64;
/** Limit on the operations, as JSON, that the records of recent patches hold for peers. */
const maxOperationsBytes = 32_768;
/** Properties that a patch can't change because the node sets them when it accepts one. */
const reservedProperties = new Set(['version', 'recentPatches']);

/** Applies a patch to a policy; the result is the same at every node. Throws `policy-invalid`. */
export function applyPatchRecord(policy: Policy, record: PatchRecord): Policy {
	const operations = record.operations ?? [];
	const {recentPatches, ...document} = structuredClone(policy);
	for (const [index, operation] of operations.entries()) {
		checkPointers(operation, index);
		const [error] = applyPatch(document, [operation]);
		if (error) {
			throw policyRejection(ErrorKind.PolicyInvalid, `operation ${index} (${operation.op} ${operation.path}): ${error.message}`);
		}
	}

	return parsePolicy({...document, version: record.version, recentPatches: trimHistory([...recentPatches, record])});
}

function checkPointers(operation: PatchOperation, index: number): void {
	const pointers = 'from' in operation ? [operation.path, operation.from] : [operation.path];
	for (const pointer of pointers) {
		const [, member] = pointer.split('/');
		if (reservedProperties.has(member) && operation.op !== 'test') {
			throw policyRejection(ErrorKind.PolicyInvalid, `operation ${index}: a patch can't change /${member}`);
		}
	}
}

/** Keeps the latest records, with the operations of the newest ones that fit into the limit. */
function trimHistory(records: readonly PatchRecord[]): PatchRecord[] {
	let remainingBytes = maxOperationsBytes;
	return records.slice(-maxRecords).toReversed().map(record => {
		remainingBytes -= JSON.stringify(record.operations ?? []).length;
		if (remainingBytes >= 0) {
			return record;
		}

		const {operations, ...rest} = record;
		return rest;
	}).toReversed();
}
