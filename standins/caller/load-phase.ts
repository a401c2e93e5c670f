/** A stretch of time with a steady rate of new requests. */
export type LoadPhase = {
	readonly durationMs: number;
	readonly ratePerSecond: number;
};
