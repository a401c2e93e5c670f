/** Which members one worker process runs, and their settings. */
export type FleetWorkerOptions = {
	readonly prefix: string;
	readonly first: number;
	readonly count: number;
	readonly zoneCount: number;
	readonly storeUrl: string;
	readonly gossipIntervalMs: number;
	readonly leaseTtlMs: number;
	readonly seed: number;
};
