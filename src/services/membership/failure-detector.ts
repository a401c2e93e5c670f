import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Waiter} from '../../base/waiter.js';
import {type MetricsService} from '../../runtime/metrics/metrics-service.js';
import {type GossipAddress} from './gossip-address.js';
import {type GossipChannel} from './gossip-channel.js';
import {type Gossiper} from './gossiper.js';
import {type GossipHost} from './gossip-host.js';
import {type GossipMessage} from './gossip-message.js';
import {GossipMessageKind} from './gossip-message-kind.js';
import {goneStates} from './gone-states.js';
import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {type MemberTable} from './member-table.js';
import {type SeededRandom} from './seeded-random.js';

/** Fraction of the probe interval to wait for a direct acknowledgment before asking other nodes to probe the target. */
const directProbeFraction = 0.4;
const indirectProbeCount = 3;
/** Probe rounds that a suspect has to refute the suspicion, as a multiple of the base 10 logarithm of the member count. */
const suspicionRoundsPerDigit = 4;
/** Probability in each round that a dead member is probed too, so that members rediscover each other after a network partition. */
const deadProbeProbability = 0.2;
/** A round that takes longer than this multiple of the interval shows that this process itself was stalled. */
const stalledFactor = 2;
const maxRelays = 64;

type Relay = {
	readonly origin: GossipAddress;
	readonly sequence: number;
	readonly target: Member;
};

type Probe = {
	readonly target: Member;
	readonly waiter: Waiter;
	acknowledged: boolean;
};

/** Detects failed members as SWIM does: a direct probe, then indirect probes, then a suspicion; the cost per node is constant. */
export class FailureDetector implements Disposable {
	private readonly disposables = new DisposableStore();
	private readonly probes = new Map<number, Probe>();
	private readonly relays = new Map<number, Relay>();
	private readonly suspicionRounds = new Map<string, number>();
	private probeOrder: string[] = [];
	private lastSequence = 0;

	constructor(
		private readonly host: GossipHost,
		private readonly table: MemberTable,
		private readonly channel: GossipChannel,
		private readonly gossiper: Gossiper,
		private readonly random: SeededRandom,
		private readonly metrics: MetricsService,
		private readonly intervalMs: number,
	) {
		this.disposables.add(channel.onDidReceive(({message, from}) => {
			this.receive(message, from);
		}));
	}

	/** Probes one member per interval until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const waiter = new Waiter();
		await waiter.wait(this.intervalMs * this.random.next(), signal);
		while (!signal.aborted) {
			const startedAtMs = performance.now();
			await this.runRound(signal);
			const remainingMs = this.intervalMs - (performance.now() - startedAtMs);
			await waiter.wait(Math.max(1, remainingMs), signal);
		}
	}

	dispose(): void {
		this.disposables.dispose();
	}

	private async runRound(signal: AbortSignal): Promise<void> {
		this.expireSuspicions();
		this.probeDeadMember();
		const target = this.nextTarget();
		if (target) {
			await this.probe(target, signal);
		}
	}

	private async probe(target: Member, signal: AbortSignal): Promise<void> {
		const sequence = this.nextSequence();
		const probe: Probe = {target, waiter: new Waiter(), acknowledged: false};
		this.probes.set(sequence, probe);
		const startedAtMs = performance.now();
		this.channel.send(target, GossipMessageKind.Ping, {sequence});
		await probe.waiter.wait(this.intervalMs * directProbeFraction, signal);
		if (!probe.acknowledged) {
			this.probeIndirectly(target, sequence);
			await probe.waiter.wait(this.intervalMs * (1 - directProbeFraction), signal);
		}

		this.probes.delete(sequence);
		const stalled = performance.now() - startedAtMs > this.intervalMs * stalledFactor;
		if (!probe.acknowledged && !stalled && !signal.aborted) {
			this.suspect(target);
		}
	}

	private probeIndirectly(target: Member, sequence: number): void {
		for (const relayNode of this.gossiper.chooseRandom(indirectProbeCount, target.nodeId)) {
			this.channel.send(relayNode, GossipMessageKind.PingRequest, {sequence, targetNodeId: target.nodeId});
		}
	}

	private suspect(target: Member): void {
		const known = this.table.get(target.nodeId);
		const isHealthy = known && ![MemberState.Suspect, MemberState.Dead, MemberState.Left].includes(known.state);
		if (isHealthy && known.incarnation === target.incarnation) {
			this.metrics.count('gossip.suspected');
			this.gossiper.applyAndBroadcast({...known, state: MemberState.Suspect});
		}
	}

	/** Declares a suspect dead if it has not refuted the suspicion within the allowed number of rounds. */
	private expireSuspicions(): void {
		const limit = Math.ceil(suspicionRoundsPerDigit * Math.max(1, Math.log10(this.table.size)));
		for (const member of this.table.all) {
			if (member.state !== MemberState.Suspect) {
				this.suspicionRounds.delete(member.nodeId);
				continue;
			}

			const rounds = (this.suspicionRounds.get(member.nodeId) ?? 0) + 1;
			this.suspicionRounds.set(member.nodeId, rounds);
			if (rounds > limit) {
				this.gossiper.applyAndBroadcast({...member, state: MemberState.Dead});
			}
		}
	}

	private probeDeadMember(): void {
		const dead = this.random.next() < deadProbeProbability ? this.table.all.filter(member => member.state === MemberState.Dead) : [];
		if (dead.length > 0) {
			const target = dead[Math.floor(this.random.next() * dead.length)];
			this.channel.send(target, GossipMessageKind.Ping, {sequence: this.nextSequence()});
		}
	}

	/** Iterates over the members in random order and probes each once before any is probed again, which bounds the detection time. */
	private nextTarget(): Member | undefined {
		const ownNodeId = this.host.self.nodeId;
		for (;;) {
			if (this.probeOrder.length === 0) {
				const probedMembers = this.table.all.filter(member => member.nodeId !== ownNodeId && !goneStates.has(member.state));
				this.probeOrder = this.random.shuffle(probedMembers.map(member => member.nodeId));
			}

			const nodeId = this.probeOrder.pop();
			if (nodeId === undefined) {
				return undefined;
			}

			const member = this.table.get(nodeId);
			if (member && !goneStates.has(member.state)) {
				return member;
			}
		}
	}

	private receive(message: GossipMessage, from: GossipAddress): void {
		switch (message.kind) {
			case GossipMessageKind.Ping: {
				this.channel.send(from, GossipMessageKind.Ack, {sequence: message.sequence});
				break;
			}

			case GossipMessageKind.PingRequest: {
				this.relay(message, from);
				break;
			}

			case GossipMessageKind.Ack: {
				this.acknowledge(message);
				break;
			}

			case GossipMessageKind.Updates:
			case GossipMessageKind.Hello: {
				break;
			}
		}
	}

	private relay(message: GossipMessage, origin: GossipAddress): void {
		const target = this.table.get(message.targetNodeId);
		if (!target) {
			return;
		}

		const sequence = this.nextSequence();
		this.relays.set(sequence, {origin, sequence: message.sequence, target});
		if (this.relays.size > maxRelays) {
			const [oldest] = this.relays.keys();
			this.relays.delete(oldest);
		}

		this.channel.send(target, GossipMessageKind.Ping, {sequence});
	}

	private acknowledge(message: GossipMessage): void {
		const relay = this.relays.get(message.sequence);
		if (relay && isFrom(message, relay.target)) {
			this.relays.delete(message.sequence);
			this.channel.send(relay.origin, GossipMessageKind.Ack, {sequence: relay.sequence, targetNodeId: relay.target.nodeId});
		}

		const probe = this.probes.get(message.sequence);
		if (probe && (isFrom(message, probe.target) || message.targetNodeId === probe.target.nodeId)) {
			probe.acknowledged = true;
			probe.waiter.wake();
		}
	}

	private nextSequence(): number {
		this.lastSequence++;
		return this.lastSequence;
	}
}

/** Whether a message comes from this incarnation of a node; another incarnation or node may be listening on its address by now. */
function isFrom(message: GossipMessage, target: Member): boolean {
	return message.nodeId === target.nodeId && message.incarnation === target.incarnation;
}
