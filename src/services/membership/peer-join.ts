import {z} from 'zod';
import {type Disposable} from '../../base/disposable.js';
import {type PeerService} from '../../runtime/peer/peer-service.js';
import {type GossipChannel} from './gossip-channel.js';
import {type GossipHost} from './gossip-host.js';
import {GossipMessageKind} from './gossip-message-kind.js';
import {type Member} from './member.js';
import {memberSchema} from './member-schema.js';
import {MemberState} from './member-state.js';
import {type MemberTable} from './member-table.js';
import {membersMethod} from './members-method.js';

const timeoutMs = 2000;
const reachableStates: ReadonlySet<MemberState> = new Set([MemberState.Joined, MemberState.Serving, MemberState.Draining]);

/** Discovers members without the store: contacts the seed addresses, then asks a discovered member for all members that it knows. */
export class PeerJoin implements Disposable {
	private readonly handler: Disposable;
	private joined = false;

	constructor(
		private readonly peers: PeerService,
		private readonly table: MemberTable,
		private readonly channel: GossipChannel,
		private readonly host: GossipHost,
		private readonly seedAddresses: readonly string[],
	) {
		this.handler = peers.handle(membersMethod, async () => ({members: this.table.all}));
	}

	/** Tries once to discover the members; does nothing after a successful try. */
	async join(apply: (member: Member) => void, signal: AbortSignal): Promise<void> {
		if (this.joined) {
			return;
		}

		const known = this.table.all.find(member => member.nodeId !== this.host.self.nodeId && reachableStates.has(member.state));
		if (!known) {
			this.contactSeeds();
			return;
		}

		try {
			const {members} = await this.peers.call(known, membersMethod, {}, {timeoutMs, signal});
			for (const member of z.array(memberSchema).parse(members)) {
				apply(member);
			}

			this.joined = true;
		} catch {
			this.contactSeeds();
		}
	}

	dispose(): void {
		this.handler.dispose();
	}

	private contactSeeds(): void {
		for (const seed of this.seedAddresses) {
			const separator = seed.lastIndexOf(':');
			const to = {address: seed.slice(0, separator), gossipPort: Number(seed.slice(separator + 1))};
			this.channel.send(to, GossipMessageKind.Hello, {members: [this.host.self]});
		}
	}
}
