import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type InstanceReport} from './instance-report.js';

/** Tells which boot of the backend server is on the VM. */
export interface InstanceSource {
	readonly current: InstanceReport | undefined;
}

export const InstanceSource = createServiceId<InstanceSource>('instance-source');
