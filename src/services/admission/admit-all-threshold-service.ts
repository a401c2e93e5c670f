import {type ThresholdService} from './threshold-service.js';

/** Simpler variant: admits every call to the queue. */
export class AdmitAllThresholdService implements ThresholdService {
	get threshold(): number {
		return 0;
	}

	observe(): void {
		// Nothing is learned.
	}
}
