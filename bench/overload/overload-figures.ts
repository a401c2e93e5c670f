/** How one class of requests fared during the trigger. */
export type ClassFigures = {
	readonly sent: number;
	readonly whole: number;
	readonly wholeShare: number;
	readonly outcomes: Readonly<Record<string, number>>;
};

/** Figures of one system under the load. */
export type OverloadFigures = {
	readonly system: string;
	readonly usual: {
		readonly offeredPerSecond: number;
		readonly goodputPerSecond: number;
		readonly goodputShareOfOffered: number;
		readonly outcomes: Readonly<Record<string, number>>;
	};
	readonly trigger: {
		readonly offeredPerSecond: number;
		readonly capacityPerSecond: number;
		readonly goodputPerSecond: number;
		readonly goodputShareOfCapacity: number;
		readonly byClass: Readonly<Record<string, ClassFigures>>;
		/** Share of the backend servers' own time that went into requests that were not answered whole. */
		readonly wastedWorkShare: number;
		readonly executionsPerRequest: number;
		/** Executions of a call beyond its first, in relation to the calls. */
		readonly retriesPerCall: number;
	};
	/** Time from the trigger's end until 95% of the requests sent are answered whole for good; undefined when they never were. */
	readonly recoveryMs: number | undefined;
	/** Share of requests sent after the trigger that were answered whole, for each half second. */
	readonly recoveryShares: readonly number[];
	readonly wrongAnswers: number;
	readonly machine: {
		readonly busyShare: number;
		readonly saturated: boolean;
	};
};
