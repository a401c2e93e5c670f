/** Outcomes of one operation's requests that were sent during the trigger. */
export type ClassFigures = {
	readonly sent: number;
	readonly whole: number;
	readonly wholeShare: number;
	readonly outcomes: Readonly<Record<string, number>>;
};

/** Figures of one system under test. */
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
		/** Fraction of the backend servers' self time that was spent on requests without a complete answer. */
		readonly wastedWorkShare: number;
		readonly executionsPerRequest: number;
		/** Executions of a call beyond its first, divided by the number of calls. */
		readonly retriesPerCall: number;
	};
	/** Time from the trigger's end until at least 95% of the requests in every later half second get a complete answer; undefined if never reached. */
	readonly recoveryMs: number | undefined;
	/** Fraction of the requests sent in each half second after the trigger that got a complete answer. */
	readonly recoveryShares: readonly number[];
	readonly wrongAnswers: number;
	readonly machine: {
		readonly busyShare: number;
		readonly saturated: boolean;
	};
};
