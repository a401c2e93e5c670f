import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type BackendAnnouncement} from './backend-announcement.js';
import {type Member} from './member.js';

/** Who is there: the store's registrations, kept alive by gossip. */
export interface MembershipService {
	readonly self: Member;
	/** All members that are known, this node included, whatever their state. */
	readonly members: readonly Member[];
	readonly onDidChange: Event<Member>;
	find(nodeId: string): Member | undefined;
	/** Members of a service that take new work, suspects left out. */
	upstreams(service: string): readonly Member[];
	/** Obtains the lease, registers under it and begins to gossip until left or disposed, while the signal ends the first tries only; `callerPort` is the port in use where the settings left it open. */
	start(signal: AbortSignal, callerPort?: number): Promise<void>;
	/** Takes over what the VM's backend server says of itself; undefined when it has gone. */
	announce(announcement: BackendAnnouncement | undefined): void;
	/** Tells everyone that this node is leaving; it stays in contact until disposed. */
	drain(): void;
	/** Ends the registration and the lease; resolved when the store or the peers know. */
	leave(signal: AbortSignal): Promise<void>;
	/** Whether the store itself says that this run of a node is no longer registered; throws `store-unavailable`. */
	isGone(nodeId: string, incarnation: string, signal: AbortSignal): Promise<boolean>;
}

export const MembershipService = createServiceId<MembershipService>('membership');
