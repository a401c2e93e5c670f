import {type ThresholdService} from './threshold-service.js';

/** Simpler form: everything is queued. */
export class OpenThresholdService implements ThresholdService {
	get threshold(): number {
		return 0;
	}

	observe(): void {
		// Nothing is learned.
	}
}
