/** Faults of the store stand-in; a field that is left out stays as it is. */
export type StoreFaults = {
	/** Every connection is cut at once and no request is taken. */
	readonly outage?: boolean;
	/** Every answer is held back for so long. */
	readonly slowMs?: number;
	/** Share of writes whose answer is lost after they took effect. */
	readonly loseAnswers?: number;
	readonly seed?: number;
	/** Every call is turned away with this status, such as 429 or 503; 0 serves again. */
	readonly turnAwayStatus?: number;
	/** The changes made so far can't be watched any more. */
	readonly forgetHistory?: boolean;
	/** Watches open now stay open and deliver nothing more; later ones work. */
	readonly silentWatches?: boolean;
	/** Connections open now swallow all bytes for good; later ones work. */
	readonly silent?: boolean;
};
