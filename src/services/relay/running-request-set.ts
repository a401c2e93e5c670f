import {type CallCounts} from './call-graph-service.js';
import {type RunningRequests} from './running-requests.js';

type RunningRequest = {
	readonly priority: number;
	readonly calls: Map<string, number>;
};

/** Running requests by id, with their inner calls; if an id is executed twice, its latest execution counts. */
export class RunningRequestSet implements RunningRequests {
	private readonly byId = new Map<string, RunningRequest>();

	start(requestId: string, priority: number): void {
		this.byId.set(requestId, {priority, calls: new Map()});
	}

	end(requestId: string): CallCounts {
		const running = this.byId.get(requestId);
		this.byId.delete(requestId);
		return Object.fromEntries(running?.calls ?? []);
	}

	parentPriority(requestId: string): number | undefined {
		return this.byId.get(parentIdOf(requestId))?.priority;
	}

	countCalls(requestId: string, calls: CallCounts): void {
		const parentCalls = this.byId.get(parentIdOf(requestId))?.calls;
		if (!parentCalls) {
			return;
		}

		for (const [service, count] of Object.entries(calls)) {
			parentCalls.set(service, (parentCalls.get(service) ?? 0) + count);
		}
	}
}

function parentIdOf(requestId: string): string {
	return requestId.slice(0, Math.max(0, requestId.lastIndexOf('.')));
}
