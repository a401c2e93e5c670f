import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** The address at which the VM's callers and its backend server send requests; every path belongs to them. */
export interface OutboundService {
	/** Port in use once listening. */
	readonly port: number;
	listen(): Promise<void>;
	/** Has every connection end with its next answer. */
	drain(): void;
	/** Takes no new connections and resolves when what was read is answered. */
	close(): Promise<void>;
}

export const OutboundService = createServiceId<OutboundService>('outbound');
