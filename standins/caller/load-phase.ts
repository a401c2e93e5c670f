/** A period with a constant mean rate of new requests. */
export type LoadPhase = {
	readonly durationMs: number;
	readonly ratePerSecond: number;
};
