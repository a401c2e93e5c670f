import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Waiter} from '../../base/waiter.js';
import {BroadcastQueue} from './broadcast-queue.js';
import {type GossipAddress} from './gossip-address.js';
import {type GossipChannel} from './gossip-channel.js';
import {type GossipHost} from './gossip-host.js';
import {type GossipMessage} from './gossip-message.js';
import {GossipMessageKind} from './gossip-message-kind.js';
import {goneStates} from './gone-states.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type MemberTable} from './member-table.js';
import {type MemberUpdate} from './member-update.js';
import {type SeededRandom} from './seeded-random.js';

/** Members that receive updates in one gossip round. */
const fanout = 3;
/** Gossip rounds in one probe interval. */
const roundsPerInterval = 5;
/** Number of queued updates above which listing the registrations in the store is cheaper than gossip. */
const backlogSize = 40;
const idleWaitMs = 60_000;
const unreachableStates: ReadonlySet<MemberState> = new Set([MemberState.Suspect, MemberState.Dead]);

/** Broadcasts member changes by infection-style gossip: a node sends each update that is new to it to a few other nodes, a bounded number of times. */
export class Gossiper implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly waiter = new Waiter();
	private remainingPolicyTransmissions = 0;

	constructor(
		private readonly host: GossipHost,
		private readonly table: MemberTable,
		private readonly channel: GossipChannel,
		private readonly random: SeededRandom,
		private readonly intervalMs: number,
	) {
		this.disposables.add(channel.onDidReceive(({message, from}) => {
			this.receive(message, from);
		}));
	}

	/** Runs gossip rounds until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			// A policy version takes a few empty datagrams, so it doesn't wait for the budget that member records may have spent.
			if (this.remainingPolicyTransmissions > 0 || (this.hasUpdates && this.channel.hasBudget)) {
				this.runRound();
			}

			// With nothing to broadcast, the node waits until it is woken, so that the first update is sent at once.
			await (this.hasUpdates ? this.pauseBetweenRounds(signal) : this.waiter.wait(idleWaitMs, signal));
		}
	}

	/** Queues a record for broadcast; it may be this node's own. */
	broadcast(member: Member): void {
		this.channel.queue.add(member);
		if (this.channel.queue.listedCount > backlogSize) {
			this.host.notifyBacklog();
		}

		this.waiter.wake();
	}

	/** Schedules datagrams to some members to announce this node's policy version, which every datagram carries. */
	broadcastPolicyVersion(): void {
		this.remainingPolicyTransmissions = BroadcastQueue.transmissionLimit(this.table.size, true);
		this.waiter.wake();
	}

	/** Runs one gossip round regardless of the byte budget. */
	runRound(): void {
		for (const member of this.chooseRandom(fanout)) {
			this.remainingPolicyTransmissions = Math.max(0, this.remainingPolicyTransmissions - 1);
			this.channel.sendUpdates(member, GossipMessageKind.Updates);
		}
	}

	/** Applies a record from another source, and broadcasts it if it is new. */
	applyAndBroadcast(member: Member): void {
		if (this.apply(member)) {
			this.broadcast(member);
		}
	}

	/** Applies a registration from a listing of the store, which all nodes can read. */
	applyListed(member: Member): void {
		this.apply(member);
		this.channel.queue.removeListed(member.nodeId, member.revision);
	}

	/** Applies a record without broadcasting it, because other nodes have it too; returns whether it was new. */
	apply(member: Member): boolean {
		if (member.nodeId === this.host.self.nodeId) {
			this.applyOwn(member);
			return false;
		}

		const isNew = this.table.merge(member);
		if (isNew) {
			this.host.notifyChanged(member);
			this.host.notifyPolicyVersion(member);
		}

		return isNew;
	}

	/** Chooses up to `count` members at random; dead members and those that have left are excluded. */
	chooseRandom(count: number, except = ''): Member[] {
		const ownNodeId = this.host.self.nodeId;
		const candidates = this.table.all.filter(member => member.nodeId !== ownNodeId && member.nodeId !== except && !goneStates.has(member.state));
		const chosen: Member[] = [];
		while (chosen.length < count && candidates.length > 0) {
			const [member] = candidates.splice(Math.floor(this.random.next() * candidates.length), 1);
			chosen.push(member);
		}

		return chosen;
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private get hasUpdates(): boolean {
		return !this.channel.queue.isEmpty || this.remainingPolicyTransmissions > 0;
	}

	private async pauseBetweenRounds(signal: AbortSignal): Promise<void> {
		const roundMs = this.intervalMs / roundsPerInterval;
		const waiter = new Waiter();
		await waiter.wait(this.random.jitter(roundMs, 0.2), signal);
	}

	private receive(message: GossipMessage, from: GossipAddress): void {
		for (const update of message.updates) {
			this.channel.queue.countReceivedCopy(update.nodeId, update.revision);
			this.applyUpdate(update);
		}

		const sender = this.table.get(message.nodeId);
		if (sender?.incarnation !== message.incarnation || sender.revision < message.revision) {
			this.askForRecord(message, sender, from);
			return;
		}

		if (message.kind === GossipMessageKind.Hello) {
			this.channel.send(from, GossipMessageKind.Updates, {members: [this.host.self]});
		}

		if (unreachableStates.has(sender.state)) {
			// The sender is alive: send it the record held of it, so that it refutes that record with a higher revision.
			this.channel.send(from, GossipMessageKind.Updates, {members: [sender]});
		}

		this.recordPolicyVersion(message, sender);
	}

	/** Asks the sender for its record; an older incarnation of a known node is sent the record of the newer one instead. */
	private askForRecord(message: GossipMessage, known: Member | undefined, from: GossipAddress): void {
		if (known && message.incarnation < known.incarnation) {
			this.channel.send(from, GossipMessageKind.Updates, {members: [known]});
			return;
		}

		this.channel.send(from, GossipMessageKind.Hello, {members: [this.host.self]});
	}

	private recordPolicyVersion(message: GossipMessage, sender: Member): void {
		this.host.notifyConfirmation(message.policyVersion, message.confirmationAgeMs);
		const member = {...sender, policyVersion: Math.max(sender.policyVersion, message.policyVersion)};
		if (member.policyVersion > sender.policyVersion) {
			this.table.put(member);
		}

		this.host.notifyPolicyVersion(member);
	}

	private applyUpdate(update: MemberUpdate): void {
		if (update.record) {
			this.applyAndBroadcast(update.record);
			return;
		}

		const known = this.table.get(update.nodeId);
		if (known?.incarnation === update.incarnation) {
			this.applyAndBroadcast({...known, revision: update.revision, state: update.state});
		}
	}

	private applyOwn(member: Member): void {
		const {self} = this.host;
		if (member.incarnation > self.incarnation) {
			this.host.notifySuperseded(member.incarnation);
			return;
		}

		const isWrong = unreachableStates.has(member.state) || member.state === MemberState.Left;
		if (member.incarnation === self.incarnation && isWrong && member.revision >= self.revision && self.state !== MemberState.Left) {
			this.host.refute(member.revision);
		}
	}
}
