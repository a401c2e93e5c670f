import {type CallCounts} from './call-graph-service.js';
import {type RunningRequests} from './running-requests.js';

/** Request ids at work with the calls made for them; one that is sent twice counts for its latest run. */
export class RunningRequestSet implements RunningRequests {
	private readonly callsById = new Map<string, Map<string, number>>();

	begin(requestId: string): void {
		this.callsById.set(requestId, new Map());
	}

	end(requestId: string): CallCounts {
		const calls = this.callsById.get(requestId);
		this.callsById.delete(requestId);
		return Object.fromEntries(calls ?? []);
	}

	isCalledFor(requestId: string): boolean {
		return this.callsById.has(parentOf(requestId));
	}

	noteCall(requestId: string, calls: CallCounts): void {
		const counted = this.callsById.get(parentOf(requestId));
		if (!counted) {
			return;
		}

		for (const [service, count] of Object.entries(calls)) {
			counted.set(service, (counted.get(service) ?? 0) + count);
		}
	}
}

function parentOf(requestId: string): string {
	return requestId.slice(0, Math.max(0, requestId.lastIndexOf('.')));
}
