/** Faults of the store stand-in; a field that is left out stays as it is. */
export type StoreFaults = {
	/** Every connection is cut at once and no request is taken. */
	readonly outage?: boolean;
	/** Every answer is held back for so long. */
	readonly slowMs?: number;
	/** Share of writes whose answer is lost after they took effect. */
	readonly loseAnswers?: number;
	readonly seed?: number;
	/** Watches open now stay open and deliver nothing more; later ones work. */
	readonly silentWatches?: boolean;
	/** Connections open now swallow all bytes for good; later ones work. */
	readonly silent?: boolean;
};
