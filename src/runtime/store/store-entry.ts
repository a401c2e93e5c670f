/** A key of the store with its value and the revision of its last change. */
export type StoreEntry = {
	readonly key: string;
	readonly value: string;
	readonly modRevision: number;
	readonly leaseId?: string;
};
