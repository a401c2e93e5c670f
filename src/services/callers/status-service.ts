import {createServiceId} from '../../runtime/kernel/create-service-id.js';

/** Status of the node for operators, as a JSON document. */
export interface StatusService {
	report(): unknown;
}

export const StatusService = createServiceId<StatusService>('status');
