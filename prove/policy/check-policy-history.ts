import {type PolicyEvent} from './policy-event.js';
import {PolicyEventKind} from './policy-event-kind.js';

/** What the history of a run breaks of the promises on policy, in words. */
export function checkPolicyHistory(events: readonly PolicyEvent[]): string[] {
	return [
		...checkStored(events),
		...checkNeverEarlier(events),
		...checkOneContent(events),
		...checkOperators(events),
		...checkSettled(events),
	];
}

/** The store's versions follow each other one by one: none is overwritten or given out twice. */
function checkStored(events: readonly PolicyEvent[]): string[] {
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

function checkNeverEarlier(events: readonly PolicyEvent[]): string[] {
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

function checkOneContent(events: readonly PolicyEvent[]): string[] {
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

/** What operators were told agrees with the last content of the store. */
function checkOperators(events: readonly PolicyEvent[]): string[] {
	const violations: string[] = [];
	const stored = ofKind(events, PolicyEventKind.Stored).at(-1)?.patchIds ?? [];
	const versions = new Map(stored.map(({patchId, version}) => [patchId, version]));
	if (versions.size !== stored.length) {
		violations.push('a patch was accepted twice');
	}

	for (const {patchId = '', version} of ofKind(events, PolicyEventKind.Accepted)) {
		if (versions.get(patchId) !== version) {
			violations.push(`${patchId} was told accepted as version ${version} but is ${versions.get(patchId) ?? 'in none'}`);
		}
	}

	for (const {patchId = ''} of ofKind(events, PolicyEventKind.Refused)) {
		if (versions.has(patchId)) {
			violations.push(`${patchId} was told refused but made version ${versions.get(patchId)}`);
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
