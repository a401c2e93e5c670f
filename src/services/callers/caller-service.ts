import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** The HTTP port for callers and operators. */
export interface CallerService {
	readonly port: number;
	listen(): Promise<void>;
	/** Answers new requests with `draining`, a little later takes no new connections, and resolves when the running requests are answered. */
	close(): Promise<void>;
}

export const CallerService = createServiceId<CallerService>('callers');
