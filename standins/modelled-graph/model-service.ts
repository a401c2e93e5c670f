/** The backend servers of one service in a modelled graph. */
export type ModelService = {
	readonly name: string;
	readonly slots: number;
	/** Speed of each backend server in relation to the work times of the routes. */
	readonly speeds: readonly number[];
};
