import {type LimitService} from './limit-service.js';

/** Simpler variant: always uses the announced capacity as the limit. */
export class AnnouncedLimitService implements LimitService {
	private announced = 0;

	get limit(): number {
		return this.announced;
	}

	setAnnounced(slots: number, connections: number): void {
		this.announced = Math.min(slots, connections);
	}

	noteEnd(): void {
		// Nothing is learned.
	}

	noteShed(): void {
		// Nothing is learned.
	}
}
