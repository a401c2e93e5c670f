/** A service of a modelled graph, with its backend servers. */
export type ModelService = {
	readonly name: string;
	readonly slots: number;
	/** Relative speed of each backend server; work times of routes are divided by it. */
	readonly speeds: readonly number[];
};
