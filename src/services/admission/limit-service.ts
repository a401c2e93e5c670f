import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type EndedExecution} from './ended-execution.js';

/** Decides how much the backend server runs at once. */
export interface LimitService {
	readonly limit: number;
	/** Bounds that the backend server announced; one of another identity, such as its port or its start, is new and starts anew. */
	setAnnounced(slots: number, connections: number, identity: number): void;
	noteEnd(execution: EndedExecution): void;
	/** The backend server shed work while so much was running. */
	noteShed(running: number): void;
}

export const LimitService = createServiceId<LimitService>('limit');
