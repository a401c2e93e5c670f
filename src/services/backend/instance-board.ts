import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {LogService} from '../../runtime/log/log-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {type InstanceReport} from './instance-report.js';
import {type InstanceService} from './instance-service.js';

/** Reports that may fail to come before a backend server counts as silent; one may be seconds late. */
const missedReports = 4;
/** Time after a leaving in which reports that were sent before it may still come. */
const lateReportsMs = 10_000;

/** The VM's backend server as it reports itself, boot after boot; late reports of earlier boots change nothing. */
export class InstanceBoard implements InstanceService, Disposable {
	private readonly emitter = new Emitter<InstanceReport | undefined>();
	private latest: InstanceReport | undefined;
	/** It said so itself: no report of its boot counts any more. */
	private hasLeft = false;
	/** Reports fail to come, which may as well be the fault of this VM; the next one ends it. */
	private isSilent = false;
	/** Leavings of instances that were not known, as this node has just started, with their wall clock. */
	private readonly unknownLeavings = new Map<string, number>();
	private timer: NodeJS.Timeout | undefined;

	constructor(
		@RelaySettingsService private readonly settings: RelaySettingsService,
		@LogService private readonly log: LogService,
	) {}

	get current(): InstanceReport | undefined {
		return this.hasLeft || this.isSilent ? undefined : this.latest;
	}

	get onDidChange(): Event<InstanceReport | undefined> {
		return this.emitter.event;
	}

	report(report: InstanceReport): void {
		if (!this.counts(report)) {
			this.log.info('ignored a late report', {instance: report.instanceId, sequence: report.sequence, known: this.latest?.instanceId});
			return;
		}

		const wasDraining = this.current?.instanceId === report.instanceId && this.current.draining;
		this.latest = report;
		this.hasLeft = false;
		this.isSilent = false;
		this.watchSilence();
		this.log.debug('instance report', {instance: report.instanceId, sequence: report.sequence});
		if (report.draining && !wasDraining) {
			this.log.info('backend server is draining', {instance: report.instanceId, sequence: report.sequence});
		}

		this.emitter.fire(report);
	}

	leave(instanceId: string): void {
		if (this.latest?.instanceId === instanceId && !this.hasLeft) {
			this.log.info('backend server has left', {instance: instanceId});
			this.hasLeft = true;
			this.end();
		} else if (this.latest?.instanceId !== instanceId) {
			this.log.info('an unknown backend server has left', {instance: instanceId, known: this.latest?.instanceId});
			this.unknownLeavings.set(instanceId, Date.now());
			setTimeout(() => {
				this.unknownLeavings.delete(instanceId);
			}, lateReportsMs).unref();
		}
	}

	dispose(): void {
		clearTimeout(this.timer);
		this.emitter.dispose();
	}

	private watchSilence(): void {
		clearTimeout(this.timer);
		const silenceMs = this.settings.relay.announceIntervalMs * missedReports;
		this.timer = setTimeout(() => {
			this.log.warn('backend server reports no more', {instance: this.latest?.instanceId, silenceMs});
			this.isSilent = true;
			this.end();
		}, silenceMs);
	}

	private end(): void {
		clearTimeout(this.timer);
		this.emitter.fire(undefined);
	}

	/** Whether a report says something new, and was not sent before its boot left. */
	private counts(report: InstanceReport): boolean {
		const leftAtMs = this.unknownLeavings.get(report.instanceId) ?? Number.NEGATIVE_INFINITY;
		return report.bornAtMs > leftAtMs && (!this.latest || isNewer(report, this.latest, this.hasLeft));
	}
}

/** Whether a report replaces the one known: a later boot, or a later report of the same boot that has not left. */
function isNewer(report: InstanceReport, known: InstanceReport, hasLeft: boolean): boolean {
	if (report.bornAtMs !== known.bornAtMs) {
		return report.bornAtMs > known.bornAtMs;
	}

	return report.instanceId === known.instanceId && report.sequence > known.sequence && !hasLeft;
}
