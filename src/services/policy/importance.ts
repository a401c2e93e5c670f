/** How much a request matters; under overload the least important are refused first. */
export enum Importance {
	Critical = 'critical',
	High = 'high',
	Normal = 'normal',
	Sheddable = 'sheddable',
}
