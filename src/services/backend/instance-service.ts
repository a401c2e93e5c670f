import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type InstanceReport} from './instance-report.js';

/** Tracks the instances of the VM's backend server by their reports. */
export interface InstanceService {
	/** The current instance, draining or not; undefined before the first report and after the last. */
	readonly current: InstanceReport | undefined;
	/** Fired with each accepted report, and with undefined when the instance has departed or stopped reporting. */
	readonly onDidChange: Event<InstanceReport | undefined>;
	/** Accepts a report unless it is older than the latest one. */
	report(report: InstanceReport): void;
	/** Records that an instance has stated in an answer that it leaves: it counts as draining, whatever its later reports say. */
	recordLeaving(instance: Pick<InstanceReport, 'instanceId' | 'bootedAtMs'>): void;
	/** Records that an instance departs: it finishes its running requests and gets no new ones. */
	recordDeparture(instanceId: string): void;
}

export const InstanceService = createServiceId<InstanceService>('instances');
