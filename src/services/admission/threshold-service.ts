import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type QueueState} from './queue-state.js';

/** Decides how important a call must be to be queued. */
export interface ThresholdService {
	/** Lowest importance rank that is admitted; the fractional part is the fraction of root ids that is refused at this rank. */
	readonly threshold: number;
	/** Reports the state of the queue; called when a call arrives and before `threshold` is read. */
	observe(state: QueueState): void;
}

export const ThresholdService = createServiceId<ThresholdService>('threshold');
