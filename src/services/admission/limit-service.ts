import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type EndedExecution} from './ended-execution.js';

/** Decides how much the backend server runs at once. */
export interface LimitService {
	readonly limit: number;
	/** Bounds that the backend server announced; one at another port is new and starts anew. */
	setAnnounced(slots: number, connections: number, port: number): void;
	noteEnd(execution: EndedExecution): void;
	/** The backend server shed work while so much was running. */
	noteShed(running: number): void;
}

export const LimitService = createServiceId<LimitService>('limit');
