/** One key of the store with the revision that last changed it. */
export type StoreEntry = {
	readonly key: string;
	readonly value: string;
	readonly modRevision: number;
	readonly leaseId?: string;
};
