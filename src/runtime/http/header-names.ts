import {createServiceId} from '../kernel/create-service-id.js';

/** Lower-case names of the non-standard headers that callers, nodes and backend servers exchange. */
export type HeaderNames = {
	/** Id of one attempt of a caller; backend servers echo it. */
	readonly requestId: string;
	/** Remaining time of the sender, in milliseconds. */
	readonly deadlineMs: string;
	/** A backend server's signature of its answer. */
	readonly signature: string;
	/** Id of the only instance of the backend server that may execute the request. */
	readonly expectedInstance: string;
	/** Set when a backend server refuses a request: it has not started the request and never will. */
	readonly notRun: string;
	/** Requests per second that a backend server accepts from all nodes together, as a decimal number; absent without a limit. */
	readonly requestLimit: string;
	/** Set to 1 in the answers of a backend server that leaves. */
	readonly leaving: string;
	/** Service of the VM that the request originates from. */
	readonly caller: string;
};

export const HeaderNames = createServiceId<HeaderNames>('header-names');
