/** Sums over all members of a worker process since its start. */
export type FleetSample = {
	readonly members: number;
	readonly cpuMs: number;
	/** Heap in use after a garbage collection, minus the heap before the first member was created. */
	readonly heapBytes: number;
	readonly residentBytes: number;
	readonly sentBytes: number;
	readonly receivedBytes: number;
	/** Bytes of sent messages that broadcast updates; the rest are probes and their acknowledgements. */
	readonly passedOnBytes: number;
	readonly sentDatagrams: number;
	readonly suspected: number;
	readonly malformed: number;
};
