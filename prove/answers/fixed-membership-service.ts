import {Emitter} from '../../src/base/emitter.js';
import {type Event} from '../../src/base/event.js';
import {MemberState} from '../../src/services/membership/member-state.js';
import {type Member} from '../../src/services/membership/member.js';
import {type MembershipService} from '../../src/services/membership/membership-service.js';

/** Membership that a run sets once; no member joins or leaves. */
export class FixedMembershipService implements MembershipService {
	members: readonly Member[] = [];
	private readonly emitter = new Emitter<Member>();

	constructor(readonly self: Member) {}

	get onDidChange(): Event<Member> {
		return this.emitter.event;
	}

	find(nodeId: string): Member | undefined {
		return this.members.find(member => member.nodeId === nodeId);
	}

	upstreams(service: string): readonly Member[] {
		return this.members.filter(member => member.service === service && member.state === MemberState.Serving);
	}

	async start(): Promise<void> {
		// The members are fixed.
	}

	announce(): void {
		// What a backend server announces is in the fixed members.
	}

	drain(): void {
		// Nobody leaves.
	}

	async leave(): Promise<void> {
		// Nobody leaves.
	}

	async isDeregistered(): Promise<boolean> {
		return false;
	}
}
