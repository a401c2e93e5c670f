import {type Type} from 'cmd-ts';

/** Setting type: a short name of lower-case letters, digits and hyphens. */
export const identifier: Type<string, string> = {
	displayName: 'name',
	description: 'up to 63 lower-case letters, digits and hyphens',
	async from(value) {
		if (!/^[a-z\d][a-z\d\-]{0,62}$/v.test(value)) {
			throw new Error(`"${value}" is not a name of up to 63 lower-case letters, digits and hyphens`);
		}

		return value;
	},
};
