import {type ConcurrencyLimitService} from './concurrency-limit-service.js';

/** Simpler variant: always uses the announced capacity as the limit. */
export class AnnouncedLimitService implements ConcurrencyLimitService {
	private announcedCapacity = 0;

	get limit(): number {
		return this.announcedCapacity;
	}

	setAnnouncedCapacity(slots: number, connections: number): void {
		this.announcedCapacity = Math.min(slots, connections);
	}

	recordExecution(): void {
		// Nothing is learned.
	}

	recordShed(): void {
		// Nothing is learned.
	}
}
