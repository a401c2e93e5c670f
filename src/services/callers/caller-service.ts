import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** HTTP server for callers and operators. */
export interface CallerService {
	readonly port: number;
	listen(): Promise<void>;
	/** Answers new requests with `draining`, stops accepting connections shortly afterwards, and resolves when all running requests are answered. */
	close(): Promise<void>;
}

export const CallerService = createServiceId<CallerService>('callers');
