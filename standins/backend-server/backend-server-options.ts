/** Options of a backend server stand-in. */
export type BackendServerOptions = {
	/** Base URL of the node's port for its backend server; announcements are off if undefined. */
	readonly nodeBackendUrl?: string;
	readonly service: string;
	/** Number of requests that are executed at once. */
	readonly slots: number;
	/** Announced number of slots; differs from `slots` to simulate a wrong announcement. */
	readonly announcedSlots: number;
	readonly connections: number;
	/** Mean self time of a request. */
	readonly serviceTimeMs: number;
	/** Time after the start during which self times are longer. */
	readonly coldStartMs: number;
	readonly availabilityZone: string;
	/** Inner calls that each request makes in parallel, as `METHOD /path`, or as `/served=METHOD /path` for requests to `/served` only. */
	readonly calls: readonly string[];
	/** Minimum length of an answer's body; shorter ones are padded. */
	readonly answerBytes?: number;
	readonly seed: number;
};
