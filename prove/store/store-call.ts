/** Record of one call of a store client. */
export type StoreCall = {
	readonly kind: 'read' | 'swap' | 'renewal';
	/** Undefined if the call did not end within its bound. */
	readonly durationMs: number | undefined;
	/** Whether it was answered; false if it failed. */
	readonly answered: boolean;
	/** Whether it can have met no fault other than silent connections. */
	readonly metOnlySilence: boolean;
	/** Value that a swap writes; unique within the run. */
	readonly value?: string;
	readonly swapped?: boolean;
};
