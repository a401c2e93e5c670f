import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type InstanceReport} from './instance-report.js';

/** The VM's backend server as it reports itself, boot after boot. */
export interface InstanceService {
	/** The boot that is there, leaving or not; undefined before the first report and after the last. */
	readonly current: InstanceReport | undefined;
	/** Tells each report that was taken, and undefined when the boot has left or reports no more. */
	readonly onDidChange: Event<InstanceReport | undefined>;
	/** Takes a report unless it is older than what is known. */
	report(report: InstanceReport): void;
	/** Takes the word that a boot leaves: it serves what it has and gets nothing more. */
	leave(instanceId: string): void;
}

export const InstanceService = createServiceId<InstanceService>('instances');
