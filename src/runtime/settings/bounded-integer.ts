import {type Type} from 'cmd-ts';

/** Setting type: a whole number within bounds; the unit is shown in help and error messages. */
export function boundedInteger(unit: string, min: number, max: number): Type<string, number> {
	return {
		displayName: unit,
		description: `a whole number from ${min} to ${max}`,
		async from(value) {
			const number = Number(value);
			if (!/^\d+$/v.test(value) || number < min || number > max) {
				throw new Error(`"${value}" is not a whole number from ${min} to ${max} (${unit})`);
			}

			return number;
		},
	};
}
