import {Importance} from './importance.js';

/** Order of importance: the higher, the later it is refused. */
export const importanceRanks: Readonly<Record<Importance, number>> = {
	[Importance.Critical]: 3,
	[Importance.High]: 2,
	[Importance.Normal]: 1,
	[Importance.Sheddable]: 0,
};
