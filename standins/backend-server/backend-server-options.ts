/** Start of a backend server stand-in. */
export type BackendServerOptions = {
	/** Base URL of the node's port for its backend server; undefined announces nothing. */
	readonly nodeBackendUrl?: string;
	readonly service: string;
	/** Requests that are served at once. */
	readonly slots: number;
	/** Slots that are announced; differs from `slots` when the announcement misleads. */
	readonly announcedSlots: number;
	readonly connections: number;
	/** Mean own time of a request. */
	readonly serviceTimeMs: number;
	/** Time after the start during which own times are longer. */
	readonly coldStartMs: number;
	readonly availabilityZone: string;
	/** Sub-calls made at once for each request, as `METHOD /path`, or as `/served=METHOD /path` for requests of one path. */
	readonly calls: readonly string[];
	/** Least size of an answer's body; shorter ones are padded. */
	readonly answerBytes?: number;
	readonly seed: number;
};
