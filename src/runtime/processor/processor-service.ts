import {createServiceId} from '../kernel/create-service-id.js';

/** Measures how busy the process is. */
export interface ProcessorService {
	/** Fraction of the time in which the process was not idle, over about the last quarter of a second. */
	readonly utilisation: number;
}

export const ProcessorService = createServiceId<ProcessorService>('processor');
