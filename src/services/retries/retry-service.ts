import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallContext} from '../calls/call-context.js';

/** Grants retries: none runs without a grant from the owner of the chain's root id. */
export interface RetryService {
	/** Counts a fresh call of this node, of which its retries may be a share only. */
	noteFresh(): void;
	/** Whether one more execution is granted; false when the total is spent or its owner can't be asked. */
	grant(context: CallContext, signal: AbortSignal): Promise<boolean>;
	/**
	Whether an attempt that names its own id may run: the first of an id is free, later ones draw on the total.
	Used for idempotent requests that carry an id.
	*/
	admitAttempt(context: CallContext, signal: AbortSignal): Promise<boolean>;
}

export const RetryService = createServiceId<RetryService>('retries');
