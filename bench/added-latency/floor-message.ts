/** What the programs of the bare floor send each other, as JSON in frames. */
export type FloorMessage = {
	readonly id: number;
	readonly method?: string;
	readonly path?: string;
	readonly status?: number;
	readonly bodyBase64: string;
};
