import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type QueueState} from './queue-state.js';

/** Decides how important work must be to be queued. */
export interface ThresholdService {
	/** Least importance rank that is admitted, with the refused share of the root ids of that very rank as fraction. */
	readonly threshold: number;
	/** Tells how the queue stands; called whenever it changed and before it is asked. */
	observe(state: QueueState): void;
}

export const ThresholdService = createServiceId<ThresholdService>('threshold');
