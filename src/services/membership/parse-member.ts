import {type Member} from './member.js';
import {memberSchema} from './member-schema.js';

/** Parses a registration; returns undefined if it is malformed. */
export function parseMember(text: string): Member | undefined {
	try {
		return memberSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
