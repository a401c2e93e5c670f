import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallContext} from '../calls/call-context.js';

/** Grants retries: none is made without a grant from the owner of the root id. */
export interface RetryService {
	/** Records a call of this node, not counting its retries; the retries are limited to a fraction of these calls. */
	recordCall(): void;
	/** Whether a retry is granted; false if the retry total or this node's retry budget is spent, or the owner can't be asked or can't decide. */
	grant(context: CallContext, signal: AbortSignal): Promise<boolean>;
	/**
	Whether an attempt with an id that the caller has chosen is admitted: the first of an id is free, later ones draw on the retry total.
	Used for idempotent requests that carry an id.
	*/
	admitAttempt(context: CallContext, signal: AbortSignal): Promise<boolean>;
}

export const RetryService = createServiceId<RetryService>('retries');
