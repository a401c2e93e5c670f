import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';

/** Sends a call to a service and returns the complete answer; used for root requests and inner calls alike. */
export interface CallService {
	call(request: CallRequest, signal: AbortSignal): Promise<CallAnswer>;
}

export const CallService = createServiceId<CallService>('calls');
