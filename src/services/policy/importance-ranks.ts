import {Importance} from './importance.js';

/** Order of importance: under overload, requests with a lower number are refused first. */
export const importanceRanks: Readonly<Record<Importance, number>> = {
	[Importance.Critical]: 3,
	[Importance.High]: 2,
	[Importance.Normal]: 1,
	[Importance.Sheddable]: 0,
};
