import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import {PeerService} from '../../platform/peer/peer-service.js';
import {SettingsService} from '../../platform/settings/settings-service.js';
import {type StoreChange, StoreService} from '../../platform/store/store-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {type BackendAnnouncement} from './backend-announcement.js';
import {LeaseService} from './lease-service.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type MembershipService} from './membership-service.js';
import {MemberTable} from './member-table.js';
import {parseMember} from './parse-member.js';

const registrationPrefix = '/kumquatline/nodes/';

/** Membership from the registrations in the store. */
export class GossipMembershipService implements MembershipService, Disposable {
	readonly onDidChange;
	private readonly changeEmitter = new Emitter<Member>();
	private readonly disposables = new DisposableStore();
	private readonly table = new MemberTable();
	private announcement: BackendAnnouncement | undefined;
	private isDraining = false;
	private callerPort = 0;
	private revision = 0;

	constructor(
		@SettingsService private readonly settings: SettingsService,
		@StoreService private readonly store: StoreService,
		@LeaseService private readonly lease: LeaseService,
		@PeerService private readonly peers: PeerService,
		@PolicyService private readonly policy: PolicyService,
	) {
		this.onDidChange = this.changeEmitter.event;
	}

	get self(): Member {
		const {availabilityZone, region, gossipPort} = this.settings.settings;
		return {
			...this.peers.self,
			availabilityZone,
			region,
			gossipPort,
			callerPort: this.callerPort,
			state: this.ownState,
			service: this.announcement?.service,
			slots: this.announcement?.slots ?? 0,
			connections: this.announcement?.connections ?? 0,
			policyVersion: this.policy.version,
			revision: this.revision,
		};
	}

	get members(): readonly Member[] {
		return this.table.all;
	}

	private get ownState(): MemberState {
		if (this.isDraining || this.announcement?.draining) {
			return MemberState.Draining;
		}

		return this.announcement ? MemberState.Serving : MemberState.Joined;
	}

	find(nodeId: string): Member | undefined {
		return this.table.get(nodeId);
	}

	upstreams(service: string): readonly Member[] {
		return this.table.serving(service);
	}

	async start(signal: AbortSignal, callerPort = this.settings.settings.callerPort): Promise<void> {
		this.callerPort = callerPort;
		this.publish();
		this.disposables.add(this.store.watch(registrationPrefix, change => {
			this.noteRegistration(change);
		}));
		await this.lease.start(signal);
	}

	announce(announcement: BackendAnnouncement | undefined): void {
		if (JSON.stringify(announcement) === JSON.stringify(this.announcement)) {
			return;
		}

		this.announcement = announcement;
		this.publish();
	}

	drain(): void {
		this.isDraining = true;
		this.publish();
	}

	async leave(signal: AbortSignal): Promise<void> {
		await this.lease.revoke(signal);
	}

	async isGone(nodeId: string, incarnation: string, signal: AbortSignal): Promise<boolean> {
		const entry = await this.store.get(registrationPrefix + nodeId, signal);
		const registered = entry && parseMember(entry.value);
		return !entry || (registered !== undefined && registered.incarnation !== incarnation);
	}

	dispose(): void {
		this.disposables.dispose();
		this.changeEmitter.dispose();
	}

	/** Raises the revision of this node's own record and lets everyone have it. */
	private publish(): void {
		this.revision++;
		const {self} = this;
		this.table.put(self);
		this.lease.setRegistration({
			key: registrationPrefix + self.nodeId,
			value: JSON.stringify(self),
			mayReplace: found => (parseMember(found)?.incarnation ?? '') <= self.incarnation,
		});
		this.changeEmitter.fire(self);
	}

	private noteRegistration(change: StoreChange): void {
		const member = change.entry && parseMember(change.entry.value);
		if (member) {
			this.merge(member);
			return;
		}

		const known = this.table.get(change.key.slice(registrationPrefix.length));
		if (known && known.nodeId !== this.peers.self.nodeId) {
			this.merge({...known, state: MemberState.Dead});
		}
	}

	private merge(member: Member): void {
		if (member.nodeId !== this.peers.self.nodeId && this.table.merge(member)) {
			this.changeEmitter.fire(member);
		}
	}
}
