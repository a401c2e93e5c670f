import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** Entry that a node keeps in the store under its lease. */
export type Registration = {
	readonly key: string;
	readonly value: string;
	/** Whether a value found under the key may be replaced. That of another incarnation must not be: it may still act under its lease. */
	readonly mayReplace: (found: string) => boolean;
};

/** Maintains the single lease of the node in the store. */
export interface LeaseService {
	/**
	Id of the lease to write entries under; undefined while there is none.
	A changed id means that the previous lease has lapsed and that other nodes may have taken over what it protected. Holders
	must compare the id and confirm their ownership by a compare-and-swap, made while `isHeld`, before they act on it again.
	*/
	readonly leaseId: string | undefined;
	/** Fires with the id of a new lease once the registration is written under it. */
	readonly onDidGrant: Event<string>;
	/**
	Whether the lease is certainly still valid: less than its time to live minus the margin has passed since the last
	acknowledged renewal was sent, by both the monotonic and the wall clock. False until the registration is written under
	this lease. Check it in the same tick as the action that depends on it.
	*/
	isHeld(): boolean;
	/** Sets the entry that is written under the current lease and every later one. */
	setRegistration(registration: Registration): void;
	/** Obtains the lease and renews it until `revoke` or `dispose`; resolves after the first try, whether or not it succeeds. The signal aborts only that try. */
	start(signal: AbortSignal): Promise<void>;
	/** Revokes the lease, which also removes the registration. */
	revoke(signal: AbortSignal): Promise<void>;
}

export const LeaseService = createServiceId<LeaseService>('lease');
