import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** The key that a node keeps in the store under its lease. */
export type Registration = {
	readonly key: string;
	readonly value: string;
	/** Whether a value found in its place may be replaced: never that of another run, which may still hold rights under its lease. */
	readonly mayReplace: (found: string) => boolean;
};

/** The node's one lease in the store. */
export interface LeaseService {
	/**
	Id of the lease to write under; undefined while there is none.
	Another id than before means that the former lease has lapsed: whatever it guarded may have been taken over, so a holder
	compares the id and confirms its right by a compare-and-swap of its own, made while `isHeld`, before it acts on it again.
	*/
	readonly leaseId: string | undefined;
	/** Tells the new id once a lease has been granted and the registration is written under it. */
	readonly onDidGrant: Event<string>;
	/**
	Whether rights under the lease still stand, counted from the sending of the last acknowledged renewal,
	less the margin, on the monotonic and the wall clock both. False until the registration is written under this very lease.
	Ask in the same tick as acting on it.
	*/
	isHeld(): boolean;
	/** Sets what is written under the lease, now and under every later lease. */
	setRegistration(registration: Registration): void;
	/** Obtains the lease and renews it until revoked or disposed; resolves after the first try, successful or not. The signal ends that try only. */
	start(signal: AbortSignal): Promise<void>;
	/** Gives the lease up, and the registration with it. */
	revoke(signal: AbortSignal): Promise<void>;
}

export const LeaseService = createServiceId<LeaseService>('lease');
