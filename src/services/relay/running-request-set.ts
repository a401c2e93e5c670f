import {type RunningRequests} from './running-requests.js';

/** Request ids at work, with how often each is. */
export class RunningRequestSet implements RunningRequests {
	private readonly counts = new Map<string, number>();

	add(requestId: string): void {
		this.counts.set(requestId, (this.counts.get(requestId) ?? 0) + 1);
	}

	delete(requestId: string): void {
		const count = (this.counts.get(requestId) ?? 0) - 1;
		if (count > 0) {
			this.counts.set(requestId, count);
		} else {
			this.counts.delete(requestId);
		}
	}

	isCalledFor(requestId: string): boolean {
		const end = requestId.lastIndexOf('.');
		return end > 0 && this.counts.has(requestId.slice(0, end));
	}
}
