import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** Server to which the VM's callers and its backend server send requests. No path on it is reserved. */
export interface OutboundService {
	/** Actual port, available once the server is listening. */
	readonly port: number;
	listen(): Promise<void>;
	/** Closes every connection after its next answer. */
	drain(): void;
	/** Refuses root requests from now on; calls of requests that run at the VM's backend server are still accepted. */
	refuseRoots(): void;
	/** Stops accepting connections and resolves when all requests read so far are answered. */
	close(): Promise<void>;
	/** Ends the requests that are still running with failures; resolves when these are written. */
	abandon(): Promise<void>;
}

export const OutboundService = createServiceId<OutboundService>('outbound');
