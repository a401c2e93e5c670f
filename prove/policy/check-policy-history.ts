import {type PolicyEvent} from './policy-event.js';
import {PolicyEventKind} from './policy-event-kind.js';

/** Checks the history of a policy run and describes each violation. */
export function checkPolicyHistory(events: readonly PolicyEvent[]): string[] {
	return [
		...checkConsecutiveVersions(events),
		...checkMonotonicVersions(events),
		...checkUniqueContent(events),
		...checkOperatorOutcomes(events),
		...checkSettled(events),
	];
}

/** Stored versions are consecutive: none is overwritten or assigned twice. */
function checkConsecutiveVersions(events: readonly PolicyEvent[]): string[] {
	const violations: string[] = [];
	let last = 0;
	for (const {version = 0} of ofKind(events, PolicyEventKind.Stored)) {
		if (version !== last + 1) {
			violations.push(`the store went from version ${last} to ${version}`);
		}

		last = version;
	}

	return violations;
}

function checkMonotonicVersions(events: readonly PolicyEvent[]): string[] {
	const violations: string[] = [];
	const versions = new Map<string, number>();
	for (const {incarnation = '', version = 0} of ofKind(events, PolicyEventKind.InForce)) {
		const last = versions.get(incarnation) ?? 0;
		if (version <= last) {
			violations.push(`${incarnation} went from version ${last} to ${version}`);
		}

		versions.set(incarnation, version);
	}

	return violations;
}

function checkUniqueContent(events: readonly PolicyEvent[]): string[] {
	const violations: string[] = [];
	const digests = new Map<number, string>();
	for (const {version = 0, digest} of events) {
		if (digest === undefined) {
			continue;
		}

		const known = digests.get(version) ?? digest;
		if (known !== digest) {
			violations.push(`version ${version} has two contents`);
		}

		digests.set(version, known);
	}

	return violations;
}

/** The outcomes reported to operators agree with the last content of the store. */
function checkOperatorOutcomes(events: readonly PolicyEvent[]): string[] {
	const violations: string[] = [];
	const stored = ofKind(events, PolicyEventKind.Stored).at(-1)?.patchIds ?? [];
	const versions = new Map(stored.map(({patchId, version}) => [patchId, version]));
	if (versions.size !== stored.length) {
		violations.push('a patch was accepted twice');
	}

	for (const {patchId = '', version} of ofKind(events, PolicyEventKind.Accepted)) {
		if (versions.get(patchId) !== version) {
			violations.push(`${patchId} was reported as accepted in version ${version} but the store has it in version ${versions.get(patchId) ?? 'none'}`);
		}
	}

	for (const {patchId = ''} of ofKind(events, PolicyEventKind.Rejected)) {
		if (versions.has(patchId)) {
			violations.push(`${patchId} was reported as rejected but made version ${versions.get(patchId)}`);
		}
	}

	return violations;
}

function checkSettled(events: readonly PolicyEvent[]): string[] {
	const latest = ofKind(events, PolicyEventKind.Stored).at(-1)?.version ?? 0;
	return ofKind(events, PolicyEventKind.Settled)
		.filter(({version}) => version !== latest)
		.map(({incarnation, version}) => `${incarnation} is at version ${version} while ${latest} is accepted`);
}

function ofKind(events: readonly PolicyEvent[], kind: PolicyEventKind): PolicyEvent[] {
	return events.filter(event => event.kind === kind);
}
