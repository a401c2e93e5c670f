import {Emitter} from '../../../../base/emitter.js';
import {type PeerService} from '../../../../runtime/peer/peer-service.js';
import {type StoreService} from '../../../../runtime/store/store-service.js';
import {type LeaseService} from '../../../membership/lease-service.js';
import {MemberState} from '../../../membership/member-state.js';
import {type Member} from '../../../membership/member.js';
import {type MembershipService} from '../../../membership/membership-service.js';

const prefix = '/kumquatline/nodes/';

/** Membership of a mesh in one process: the mesh delivers states in place of gossip, registrations come from the store. */
export class MeshMembershipService implements MembershipService {
	private readonly changes = new Emitter<Member>();
	private readonly known = new Map<string, Member>();

	constructor(
		readonly service: string,
		private readonly peers: PeerService,
		private readonly store: StoreService,
		private readonly lease: LeaseService,
		private readonly slots = 10,
	) {}

	get self(): Member {
		return this.known.get(this.peers.self.nodeId) ?? this.record(MemberState.Serving);
	}

	get members(): readonly Member[] {
		return [...this.known.values()];
	}

	get onDidChange() {
		return this.changes.event;
	}

	find(nodeId: string): Member | undefined {
		return this.known.get(nodeId);
	}

	upstreams(service: string): readonly Member[] {
		return this.members.filter(member => member.service === service && member.state === MemberState.Serving);
	}

	async start(signal: AbortSignal): Promise<void> {
		const {self} = this;
		this.lease.setRegistration({
			key: prefix + self.nodeId,
			value: self.incarnation,
			mayReplace: found => found === self.incarnation,
		});
		await this.lease.start(signal);
	}

	announce(): void {
		// The nodes of a mesh are in the state Serving from their start.
	}

	drain(): void {
		this.applyUpdate(this.record(MemberState.Draining));
	}

	async leave(signal: AbortSignal): Promise<void> {
		await this.lease.revoke(signal);
	}

	async isDeregistered(nodeId: string, incarnation: string, signal: AbortSignal): Promise<boolean> {
		const entry = await this.store.get(prefix + nodeId, signal);
		return entry?.value !== incarnation;
	}

	/** Applies an update that gossip would have delivered. */
	applyUpdate(member: Member): void {
		this.known.set(member.nodeId, member);
		this.changes.fire(member);
	}

	record(state: MemberState): Member {
		return {
			...this.peers.self,
			availabilityZone: 'north',
			region: 'default',
			gossipPort: 1,
			callerPort: 1,
			state,
			service: this.service,
			slots: this.slots,
			connections: 100,
			policyVersion: 1,
			revision: 1,
		};
	}
}
