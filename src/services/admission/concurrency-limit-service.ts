import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type EndedExecution} from './ended-execution.js';

/** Limits how many calls the backend server executes concurrently. */
export interface ConcurrencyLimitService {
	readonly limit: number;
	/** Sets the capacity that the backend server announced; another identity, such as a port or a boot time, means a new backend server, whose limit starts afresh. */
	setAnnouncedCapacity(slots: number, connections: number, identity: number): void;
	recordExecution(execution: EndedExecution): void;
	/** Records that the backend server shed a call while this many were running. */
	recordShed(running: number): void;
}

export const ConcurrencyLimitService = createServiceId<ConcurrencyLimitService>('limit');
