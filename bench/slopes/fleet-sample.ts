/** Sums over the members of a process since its start. */
export type FleetSample = {
	readonly members: number;
	readonly cpuMs: number;
	/** Heap in use after a collection, beyond what the process had before its first member. */
	readonly heapBytes: number;
	readonly residentBytes: number;
	readonly sentBytes: number;
	readonly receivedBytes: number;
	/** Part of what was sent that passes updates on; the rest is probes and their answers. */
	readonly passedOnBytes: number;
	readonly sentDatagrams: number;
	readonly suspected: number;
	readonly malformed: number;
};
