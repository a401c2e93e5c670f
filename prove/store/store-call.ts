/** One call of a store client, as a run recorded it. */
export type StoreCall = {
	readonly kind: 'read' | 'swap' | 'renewal';
	/** Undefined when the call had not ended when its bound was over. */
	readonly durationMs: number | undefined;
	/** Whether it was answered rather than failed. */
	readonly answered: boolean;
	/** Whether nothing but silent connections can have stood in its way. */
	readonly onlySilence: boolean;
	/** Value that a swap writes, unique in the run. */
	readonly value?: string;
	readonly swapped?: boolean;
};
