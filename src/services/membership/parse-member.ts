import {type Member} from './member.js';
import {memberSchema} from './member-schema.js';

/** Reads a registration; undefined when it is not one. */
export function parseMember(text: string): Member | undefined {
	try {
		return memberSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}
