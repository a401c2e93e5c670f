import {createServiceId} from '../../platform/kernel/create-service-id.js';

/** The node's one lease in the store. */
export interface LeaseService {
	/** Id of the lease to write under; undefined while there is none. */
	readonly leaseId: string | undefined;
	/**
	Whether rights under the lease still stand, counted from the sending of the last acknowledged renewal,
	less the margin, on the monotonic and the wall clock both. Ask in the same tick as acting on it.
	*/
	isHeld(): boolean;
	/** Obtains the lease and renews it until disposed; resolves after the first try, successful or not. */
	start(signal: AbortSignal): Promise<void>;
	/** Gives the lease up. */
	revoke(signal: AbortSignal): Promise<void>;
}

export const LeaseService = createServiceId<LeaseService>('lease');
