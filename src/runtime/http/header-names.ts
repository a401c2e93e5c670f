import {createServiceId} from '../kernel/create-service-id.js';

/** Names of the headers that callers, nodes and backend servers exchange besides the standard ones, in lower case. */
export type HeaderNames = {
	/** Id of one attempt of a caller; a backend server echoes it. */
	readonly requestId: string;
	/** Milliseconds that the sender still waits. */
	readonly deadlineMs: string;
	/** A backend server's signature of its answer. */
	readonly signature: string;
	/** Id of the one boot of a backend server that may run the request. */
	readonly expectedInstance: string;
	/** On a refusal of a backend server: the request was not begun and never will be. */
	readonly notRun: string;
	/** Service of the VM on which the request began. */
	readonly caller: string;
};

export const HeaderNames = createServiceId<HeaderNames>('header-names');
