import {Buffer} from 'node:buffer';
import {type Operation} from './operation.js';
import {type Policy} from './policy.js';

/** Largest policy as JSON; the store accepts values of up to one megabyte. */
const maxPolicyBytes = 900_000;
const idempotentMethods = new Set(['GET', 'HEAD']);
const reservedPath = '/kumquatline';

/** Checks a policy as a whole; returns one line for each problem, none if the policy can be accepted. */
export function checkPolicy(policy: Policy): string[] {
	return [
		...findDuplicates('services', policy.services),
		...findDuplicates('operations', policy.operations),
		...findDuplicates('callers', policy.callers),
		...policy.operations.flatMap((operation, index) => checkOperation(operation, `/operations/${index}`, policy)),
		...findAmbiguousRoutes(policy.operations),
		...checkDurations(policy),
		...checkSize(policy),
	];
}

function findDuplicates(list: string, items: ReadonlyArray<{readonly name: string}>): string[] {
	const seen = new Set<string>();
	const problems: string[] = [];
	for (const [index, {name}] of items.entries()) {
		if (seen.has(name)) {
			problems.push(`/${list}/${index}/name: "${name}" is declared twice`);
		}

		seen.add(name);
	}

	return problems;
}

function checkOperation(operation: Operation, pointer: string, policy: Policy): string[] {
	const services = new Set(policy.services.map(service => service.name));
	const problems: string[] = [];
	if (!services.has(operation.service)) {
		problems.push(`${pointer}/service: "${operation.service}" is not a declared service`);
	}

	for (const [index, called] of operation.calls.entries()) {
		if (!services.has(called)) {
			problems.push(`${pointer}/calls/${index}: "${called}" is not a declared service`);
		}
	}

	if (idempotentMethods.has(operation.method) && !operation.idempotent) {
		problems.push(`${pointer}/idempotent: ${operation.method} operations are idempotent`);
	}

	if (operation.timeoutMs > policy.retryHorizonMs) {
		problems.push(`${pointer}/timeoutMs: ${operation.timeoutMs} is longer than /retryHorizonMs (${policy.retryHorizonMs})`);
	}

	return [...problems, ...checkPath(operation.path, `${pointer}/path`)];
}

function checkPath(path: string, pointer: string): string[] {
	const problems: string[] = [];
	const parameters = new Set<string>();
	if (path === reservedPath || path.startsWith(`${reservedPath}/`)) {
		problems.push(`${pointer}: "${path}" is under ${reservedPath}, which is reserved for the endpoints of the nodes`);
	}

	for (const segment of path.slice(1).split('/')) {
		if (!/^(?::[A-Za-z]\w*|[\w\-.~]+)$/v.test(segment) && path !== '/') {
			problems.push(`${pointer}: "${segment}" is neither a literal segment nor a parameter such as ":id"`);
		}

		if (segment.startsWith(':') && parameters.has(segment)) {
			problems.push(`${pointer}: parameter "${segment}" occurs twice`);
		}

		parameters.add(segment);
	}

	return problems;
}

/** Two operations with the same method must not match the same paths; parameters match any segment. */
function findAmbiguousRoutes(operations: readonly Operation[]): string[] {
	const operationNames = new Map<string, string>();
	const problems: string[] = [];
	for (const [index, {name, method, path}] of operations.entries()) {
		const pattern = `${method} ${path.replaceAll(/:\w+/gv, ':')}`;
		const earlierOperation = operationNames.get(pattern);
		if (earlierOperation !== undefined) {
			problems.push(`/operations/${index}/path: ${method} ${path} matches the same paths as operation "${earlierOperation}"`);
		}

		operationNames.set(pattern, name);
	}

	return problems;
}

function checkDurations(policy: Policy): string[] {
	const problems: string[] = [];
	for (const [index, {patienceMs}] of policy.callers.entries()) {
		if (patienceMs > policy.retryHorizonMs) {
			problems.push(`/callers/${index}/patienceMs: ${patienceMs} is longer than /retryHorizonMs (${policy.retryHorizonMs})`);
		}
	}

	return problems;
}

function checkSize(policy: Policy): string[] {
	const sizeBytes = Buffer.byteLength(JSON.stringify(policy));
	return sizeBytes > maxPolicyBytes ? [`/: the policy has ${sizeBytes} bytes; at most ${maxPolicyBytes} are allowed`] : [];
}
