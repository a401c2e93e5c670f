import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type BackendAnnouncement} from './backend-announcement.js';
import {type Member} from './member.js';

/** Members of the system: read from the registrations in the store and kept up to date by gossip. */
export interface MembershipService {
	readonly self: Member;
	/** All known members in any state, including this node. */
	readonly members: readonly Member[];
	readonly onDidChange: Event<Member>;
	find(nodeId: string): Member | undefined;
	/** Members that accept new requests for a service; suspects are excluded. */
	upstreams(service: string): readonly Member[];
	/** Obtains the lease, registers under it and gossips until `leave` or `dispose`; the signal aborts only the first tries. `callerPort` is the port actually used if the settings let the operating system choose it. */
	start(signal: AbortSignal, callerPort?: number): Promise<void>;
	/** Updates the announcement of the VM's backend server; undefined if it has departed. */
	announce(announcement: BackendAnnouncement | undefined): void;
	/** Announces that this node is about to leave; it keeps gossiping until `leave` or `dispose`. */
	drain(): void;
	/** Broadcasts that this node has left and revokes its lease, which also removes the registration; resolves even if the revocation fails. */
	leave(signal: AbortSignal): Promise<void>;
	/** Whether this incarnation of a node is no longer registered in the store; throws `store-unavailable`. */
	isDeregistered(nodeId: string, incarnation: string, signal: AbortSignal): Promise<boolean>;
}

export const MembershipService = createServiceId<MembershipService>('membership');
