/** Message between the two programs of the floor, sent as JSON in a frame. */
export type FloorMessage = {
	readonly id: number;
	readonly method?: string;
	readonly path?: string;
	readonly status?: number;
	readonly bodyBase64: string;
};
