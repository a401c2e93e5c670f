import {Buffer} from 'node:buffer';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import {type MetricsService} from '../../runtime/metrics/metrics-service.js';
import {BroadcastQueue} from './broadcast-queue.js';
import {ByteBudget} from './byte-budget.js';
import {type Datagram, type DatagramSocket} from './datagram-socket.js';
import {decodeMessage} from './decode-message.js';
import {encodeMemberUpdate} from './encode-member-update.js';
import {encodeMessage} from './encode-message.js';
import {type GossipAddress} from './gossip-address.js';
import {type GossipHost} from './gossip-host.js';
import {type GossipMessage} from './gossip-message.js';
import {type GossipMessageKind} from './gossip-message-kind.js';
import {type Member} from './member.js';
import {type MemberTable} from './member-table.js';

type ReceivedMessage = {
	readonly message: GossipMessage;
	readonly from: GossipAddress;
};

type SendOptions = {
	readonly sequence?: number;
	readonly targetNodeId?: string;
	/** Records to include in addition to the queued updates. */
	readonly members?: readonly Member[];
};

const maxDatagramBytes = 1200;
/** Age sent for confirmations that are older, or if there is none; far above any time within which a change has to be in force. */
const maxConfirmationAgeMs = 3_600_000;
/** Size of the IP and UDP headers of a datagram. */
const headerBytes = 28;
/** Typical size of a datagram without updates. */
const emptyDatagramBytes = 80;
/** Byte budget of a node for broadcasting updates: the average rate, and the burst allowed when many members change at the same time. */
const updateBytesPerSecond = 500;
const updateBurstBytes = 32_768;

/** Sends and receives this node's datagrams; piggybacks queued updates on every datagram sent. */
export class GossipChannel implements Disposable {
	readonly onDidReceive;
	readonly queue = new BroadcastQueue();
	private readonly receiveEmitter = new Emitter<ReceivedMessage>();
	private readonly budget = new ByteBudget(updateBytesPerSecond, updateBurstBytes);
	private readonly disposables = new DisposableStore();

	constructor(
		private readonly socket: DatagramSocket,
		private readonly host: GossipHost,
		private readonly table: MemberTable,
		private readonly metrics: MetricsService,
	) {
		this.onDidReceive = this.receiveEmitter.event;
		this.disposables.add(socket);
		this.disposables.add(socket.onDidReceive(datagram => {
			this.receive(datagram);
		}));
	}

	/** Whether the byte budget allows another datagram that carries updates only. */
	get hasBudget(): boolean {
		return this.budget.available >= maxDatagramBytes + headerBytes;
	}

	send(to: GossipAddress, kind: GossipMessageKind, options: SendOptions = {}): void {
		const {nodeId, incarnation, revision, policyVersion} = this.host.self;
		const message = {
			kind,
			nodeId,
			incarnation,
			revision,
			policyVersion,
			confirmationAgeMs: Math.ceil(Math.min(this.host.confirmationAgeMs, maxConfirmationAgeMs)),
			sequence: options.sequence ?? 0,
			targetNodeId: options.targetNodeId ?? '',
		};
		const own = (options.members ?? []).map(member => encodeMemberUpdate(member));
		const ownBytes = Buffer.byteLength(encodeMessage(message, own));
		const piggybackBytes = Math.min(maxDatagramBytes - ownBytes - 1, this.budget.available);
		const text = encodeMessage(message, [...own, ...this.queue.take(piggybackBytes, this.table.size)]);
		const sizeBytes = Buffer.byteLength(text);
		this.spend(sizeBytes - ownBytes);
		this.metrics.count('gossip.sent');
		this.metrics.count('gossip.sent.bytes', {}, sizeBytes + headerBytes);
		this.socket.send(text, to);
	}

	/** Sends a datagram that carries updates only; its headers count towards the byte budget too. */
	sendUpdates(to: GossipAddress, kind: GossipMessageKind): void {
		this.spend(headerBytes + emptyDatagramBytes);
		this.send(to, kind);
	}

	dispose(): void {
		this.disposables.dispose();
		this.receiveEmitter.dispose();
	}

	private spend(bytes: number): void {
		this.budget.spend(bytes);
		this.metrics.count('gossip.passed-on.bytes', {}, bytes);
	}

	private receive(datagram: Datagram): void {
		this.metrics.count('gossip.received');
		this.metrics.count('gossip.received.bytes', {}, datagram.bytes.length + headerBytes);
		const message = datagram.bytes.length <= maxDatagramBytes ? decodeMessage(datagram.bytes) : undefined;
		if (!message) {
			this.metrics.count('gossip.malformed');
			return;
		}

		if (message.nodeId !== this.host.self.nodeId) {
			this.receiveEmitter.fire({message, from: datagram.from});
		}
	}
}
