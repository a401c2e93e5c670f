import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import {Waiter} from '../../base/waiter.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {type BackendAnnouncement} from './backend-announcement.js';
import {ConfirmationBroadcast} from './confirmation-broadcast.js';
import {type DatagramSocket} from './datagram-socket.js';
import {FailureDetector} from './failure-detector.js';
import {GossipChannel} from './gossip-channel.js';
import {Gossiper} from './gossiper.js';
import {type GossipHost} from './gossip-host.js';
import {LeaseService} from './lease-service.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type MembershipService} from './membership-service.js';
import {MemberTable} from './member-table.js';
import {parseMember} from './parse-member.js';
import {PeerJoin} from './peer-join.js';
import {registrationPrefix} from './registration-prefix.js';
import {RegistrationReader} from './registration-reader.js';
import {SeededRandom} from './seeded-random.js';
import {UdpDatagramSocket} from './udp-datagram-socket.js';

/** Number of gossip rounds in which a leaving node broadcasts that it has left, and the time between them. */
const leaveRounds = 4;
const leavePauseMs = 20;

/** Reads the members from the registrations in the store and keeps them up to date by gossip. */
export class GossipMembershipService implements MembershipService, Disposable {
	readonly onDidChange;
	private readonly changeEmitter = new Emitter<Member>();
	private readonly disposables = new DisposableStore();
	private readonly stop = new AbortController();
	private readonly table = new MemberTable();
	private readonly random: SeededRandom;
	private gossiper: Gossiper | undefined;
	private reader: RegistrationReader | undefined;
	private announcement: BackendAnnouncement | undefined;
	private isDraining = false;
	private hasLeft = false;
	private isSuperseded = false;
	private gossipPort = 0;
	private callerPort = 0;
	private revision = 0;

	constructor(
		@SettingsService private readonly settings: SettingsService,
		@StoreService private readonly store: StoreService,
		@LeaseService private readonly lease: LeaseService,
		@PeerService private readonly peers: PeerService,
		@PolicyService private readonly policy: PolicyService,
		@LogService private readonly log: LogService,
		@MetricsService private readonly metrics: MetricsService,
	) {
		this.onDidChange = this.changeEmitter.event;
		this.random = new SeededRandom(settings.settings.seed, settings.settings.nodeId);
		this.disposables.add(this.changeEmitter);
	}

	get self(): Member {
		const {availabilityZone, region} = this.settings.settings;
		return {
			...this.peers.self,
			availabilityZone,
			region,
			gossipPort: this.gossipPort,
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

	find(nodeId: string): Member | undefined {
		return this.table.get(nodeId);
	}

	upstreams(service: string): readonly Member[] {
		return this.table.serving(service);
	}

	async start(signal: AbortSignal, callerPort = this.settings.settings.callerPort): Promise<void> {
		const socket = await this.openSocket();
		this.gossipPort = socket.port;
		this.callerPort = callerPort;
		const reader = this.createComponents(socket);
		this.reader = reader;
		this.publish();
		await Promise.all([reader.list(signal), this.lease.start(signal)]);
		void reader.run(this.stop.signal);
	}

	announce(announcement: BackendAnnouncement | undefined): void {
		if (JSON.stringify(announcement) === JSON.stringify(this.announcement)) {
			return;
		}

		this.announcement = announcement;
		this.publish();
	}

	drain(): void {
		if (!this.isDraining) {
			this.isDraining = true;
			this.publish();
		}
	}

	async leave(signal: AbortSignal): Promise<void> {
		this.hasLeft = true;
		this.publish();
		await Promise.all([this.broadcastLeave(signal), this.revokeLease(signal)]);
		this.stop.abort();
	}

	async isDeregistered(nodeId: string, incarnation: string, signal: AbortSignal): Promise<boolean> {
		const entry = await this.store.get(registrationPrefix + nodeId, signal);
		const registered = entry && parseMember(entry.value);
		return !entry || (registered !== undefined && registered.incarnation !== incarnation);
	}

	dispose(): void {
		this.stop.abort();
		this.disposables.dispose();
	}

	/** Opens the gossip socket; overridden in tests that simulate the network. */
	protected async openSocket(): Promise<DatagramSocket> {
		const {address, gossipPort} = this.settings.settings;
		return UdpDatagramSocket.open(address, gossipPort);
	}

	private get ownState(): MemberState {
		if (this.hasLeft) {
			return MemberState.Left;
		}

		if (this.isDraining || this.announcement?.draining) {
			return MemberState.Draining;
		}

		return this.announcement ? MemberState.Serving : MemberState.Joined;
	}

	private createComponents(socket: DatagramSocket): RegistrationReader {
		const {gossipIntervalMs} = this.settings.settings;
		const host = this.createHost();
		const channel = this.disposables.add(new GossipChannel(socket, host, this.table, this.metrics));
		const gossiper = this.disposables.add(new Gossiper(host, this.table, channel, this.random, gossipIntervalMs));
		const detector = this.disposables.add(new FailureDetector(host, this.table, channel, gossiper, this.random, this.metrics, gossipIntervalMs));
		const confirmations = new ConfirmationBroadcast(host, this.table, channel, this.random);
		const join = this.disposables.add(new PeerJoin(this.peers, this.table, channel, host, this.settings.settings.seedAddresses));
		this.disposables.add(this.policy.onDidChange(() => {
			this.table.put(this.self);
			gossiper.broadcastPolicyVersion();
		}));
		this.disposables.add(this.policy.onDidConfirm(source => {
			confirmations.send(source);
		}));
		this.gossiper = gossiper;
		void gossiper.run(this.stop.signal);
		void detector.run(this.stop.signal);
		return this.disposables.add(this.createReader(gossiper, join));
	}

	private createReader(gossiper: Gossiper, join: PeerJoin): RegistrationReader {
		const host = {
			self: this.self,
			apply(member: Member, broadcast: boolean) {
				if (broadcast) {
					gossiper.applyAndBroadcast(member);
				} else {
					gossiper.applyListed(member);
				}
			},
			joinThroughPeers: async (signal: AbortSignal) => join.join(member => {
				gossiper.apply(member);
			}, signal),
		};
		return new RegistrationReader(host, this.store, this.table, this.random);
	}

	private createHost(): GossipHost {
		const self = () => this.self;
		const {policy} = this;
		return {
			get self() {
				return self();
			},
			get confirmationAgeMs() {
				return policy.confirmationAgeMs;
			},
			refute: revision => {
				this.metrics.count('gossip.refuted');
				this.revision = Math.max(this.revision, revision);
				this.publish();
			},
			notifySuperseded: incarnation => {
				this.stepDown(incarnation);
			},
			notifyChanged: member => {
				this.changeEmitter.fire(member);
			},
			notifyBacklog: () => {
				this.reader?.listSoon();
			},
			notifyConfirmation: (policyVersion, ageMs) => {
				this.policy.recordPeerConfirmation(policyVersion, ageMs);
			},
			notifyPolicyVersion: member => {
				if (member.policyVersion > this.policy.version) {
					this.policy.recordPeerVersion(member.policyVersion, member);
				}
			},
		};
	}

	/** Raises the revision of this node's own record, then broadcasts and registers it. */
	private publish(): void {
		this.revision++;
		const {self} = this;
		this.table.put(self);
		this.gossiper?.broadcast(self);
		if (!this.hasLeft) {
			this.register(self);
		}

		this.changeEmitter.fire(self);
	}

	private register(self: Member): void {
		this.lease.setRegistration({
			key: registrationPrefix + self.nodeId,
			value: JSON.stringify(self),
			mayReplace: found => parseMember(found)?.incarnation === self.incarnation,
		});
	}

	/** Revokes the lease of this node after a newer incarnation of its id was found, so that the newer one can register. */
	private stepDown(incarnation: string): void {
		this.metrics.count('gossip.superseded');
		if (!this.isSuperseded) {
			this.isSuperseded = true;
			this.log.error('a newer run of this node id is about', {incarnation});
			void this.revokeLease(this.stop.signal);
		}
	}

	private async broadcastLeave(signal: AbortSignal): Promise<void> {
		const waiter = new Waiter();
		for (let round = 0; round < leaveRounds; round++) {
			this.gossiper?.runRound();
			await waiter.wait(leavePauseMs, signal);
		}
	}

	private async revokeLease(signal: AbortSignal): Promise<void> {
		try {
			await this.lease.revoke(signal);
		} catch (error) {
			this.log.warn('failed to revoke the lease; the registration stays until the lease expires', {reason: String(error)});
		}
	}
}
