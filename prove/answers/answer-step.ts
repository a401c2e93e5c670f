import {type RelayFault} from '../../standins/relay/relay-fault.js';

/** One step of a schedule: a request through an entry node, or a fault at an upstream's relay. */
export type AnswerStep = {
	readonly atMs: number;
	readonly node: number;
	readonly request?: {
		readonly idempotent: boolean;
		readonly delayMs: number;
		readonly parts: number;
	};
	readonly fault?: {
		readonly kind: RelayFault;
		readonly atBackend: boolean;
		/** Delay in milliseconds, or number of bytes before a cut. */
		readonly amount: number;
	};
};
