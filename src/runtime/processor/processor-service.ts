import {createServiceId} from '../kernel/create-service-id.js';

/** The processor time that the process has. */
export interface ProcessorService {
	/** Share of the time in which the process was not idle, over the last quarter of a second or so. */
	readonly busyShare: number;
}

export const ProcessorService = createServiceId<ProcessorService>('processor');
