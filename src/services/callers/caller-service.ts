import {createServiceId} from '../../platform/kernel/create-service-id.js';

/** The HTTP port for callers and operators. */
export interface CallerService {
	readonly port: number;
	listen(): Promise<void>;
	/** Takes no new connections, answers new requests with `draining`, and resolves when the running ones are answered. */
	close(): Promise<void>;
}

export const CallerService = createServiceId<CallerService>('callers');
