import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';

/** Carries a call to a service and brings the whole answer back; used for callers' requests and sub-calls alike. */
export interface CallService {
	call(request: CallRequest, signal: AbortSignal): Promise<CallAnswer>;
}

export const CallService = createServiceId<CallService>('calls');
