import {type Member} from './member.js';
import {MemberState} from './member-state.js';
import {supersedes} from './supersedes.js';

/** Members by node id, with a cache of the serving members of each service. */
export class MemberTable {
	private readonly byNodeId = new Map<string, Member>();
	private readonly servingByService = new Map<string, readonly Member[]>();

	get all(): readonly Member[] {
		return [...this.byNodeId.values()];
	}

	get size(): number {
		return this.byNodeId.size;
	}

	get(nodeId: string): Member | undefined {
		return this.byNodeId.get(nodeId);
	}

	/** Stores a record if it supersedes the known one; returns whether it did. */
	merge(update: Member): boolean {
		const known = this.byNodeId.get(update.nodeId);
		if (known && !supersedes(update, known)) {
			return false;
		}

		this.put(update);
		return true;
	}

	put(member: Member): void {
		this.byNodeId.set(member.nodeId, member);
		this.servingByService.clear();
	}

	remove(nodeId: string): void {
		this.byNodeId.delete(nodeId);
		this.servingByService.clear();
	}

	serving(service: string): readonly Member[] {
		const cached = this.servingByService.get(service);
		if (cached) {
			return cached;
		}

		const serving = this.all.filter(member => member.state === MemberState.Serving && member.service === service);
		this.servingByService.set(service, serving);
		return serving;
	}
}
