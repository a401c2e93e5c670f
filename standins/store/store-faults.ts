/** Faults of the store stand-in; fields that are left out keep their value. */
export type StoreFaults = {
	/** All connections are closed immediately, and no request is accepted. */
	readonly outage?: boolean;
	/** Delay of answers; refusals, and watches that already have changes, are answered without it. */
	readonly slowMs?: number;
	/** Fraction of writes whose answer is lost after they took effect. */
	readonly loseAnswers?: number;
	readonly seed?: number;
	/** Every call is refused with this status, such as 429 or 503; 0 for none. */
	readonly turnAwayStatus?: number;
	/** The changes made so far can no longer be watched. */
	readonly forgetHistory?: boolean;
	/** Watches for discarded changes wait like any other before they are told so, instead of being told at once. */
	readonly holdsDiscarded?: boolean;
	/** The connections of the watches that are open now are closed. */
	readonly cutWatches?: boolean;
	/** Watches that are open now stay open but deliver no more changes; later ones work. */
	readonly silentWatches?: boolean;
	/** Connections that are open now stay open but are never answered again; later ones work. */
	readonly silent?: boolean;
};
