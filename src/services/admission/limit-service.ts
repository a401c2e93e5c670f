import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type EndedExecution} from './ended-execution.js';

/** Limits how many calls the backend server executes concurrently. */
export interface LimitService {
	readonly limit: number;
	/** Sets the capacity that the backend server announced; another identity, such as a port or a boot time, means a new backend server, whose limit starts afresh. */
	setAnnounced(slots: number, connections: number, identity: number): void;
	noteEnd(execution: EndedExecution): void;
	/** Records that the backend server shed a call while this many were running. */
	noteShed(running: number): void;
}

export const LimitService = createServiceId<LimitService>('limit');
