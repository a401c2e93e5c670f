/** Importance of a request; under overload the least important requests are refused first. */
export enum Importance {
	Critical = 'critical',
	High = 'high',
	Normal = 'normal',
	Sheddable = 'sheddable',
}
