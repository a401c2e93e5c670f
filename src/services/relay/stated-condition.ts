import {type InstanceCondition} from '../backend/instance-condition.js';
import {type InstanceReport} from '../backend/instance-report.js';

type Instance = Pick<InstanceReport, 'instanceId' | 'bootedAtMs'>;

type Statement = Omit<InstanceCondition, keyof Instance>;

/** The condition of the VM's backend server: as its latest answer states it, or, before the first answer, as another node remembers it. */
export class StatedCondition {
	private latest: InstanceCondition | undefined;

	/** Returns the condition of an instance; undefined before its first answer. */
	of(instance: Instance | undefined): InstanceCondition | undefined {
		return instance && this.isOf(instance) ? this.latest : undefined;
	}

	/** Records what an answer of an instance states; once it leaves, it does so for good. */
	record({instanceId, bootedAtMs}: Instance, {requestsPerSecond, isLeaving}: Statement): void {
		const wasLeaving = this.of({instanceId, bootedAtMs})?.isLeaving ?? false;
		this.latest = {
			instanceId, bootedAtMs, requestsPerSecond, isLeaving: isLeaving || wasLeaving,
		};
	}

	/** Adopts what another node remembers of the instance; ignored after an answer to this node. */
	adopt(instance: Instance, remembered: InstanceCondition): void {
		const isSame = remembered.instanceId === instance.instanceId && remembered.bootedAtMs === instance.bootedAtMs;
		if (isSame && !this.isOf(instance)) {
			this.latest = remembered;
		}
	}

	private isOf({instanceId, bootedAtMs}: Instance): boolean {
		return this.latest?.instanceId === instanceId && this.latest.bootedAtMs === bootedAtMs;
	}
}
