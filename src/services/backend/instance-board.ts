import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {LogService} from '../../runtime/log/log-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {type InstanceReport} from './instance-report.js';
import {type InstanceService} from './instance-service.js';

/** Reports that may fail to come before a backend server counts as gone; one may be seconds late. */
const missedReports = 4;

/** The VM's backend server as it reports itself, boot after boot; late reports of earlier boots change nothing. */
export class InstanceBoard implements InstanceService, Disposable {
	private readonly emitter = new Emitter<InstanceReport | undefined>();
	private latest: InstanceReport | undefined;
	private hasLeft = false;
	private timer: NodeJS.Timeout | undefined;

	constructor(
		@RelaySettingsService private readonly settings: RelaySettingsService,
		@LogService private readonly log: LogService,
	) {}

	get current(): InstanceReport | undefined {
		return this.hasLeft ? undefined : this.latest;
	}

	get onDidChange(): Event<InstanceReport | undefined> {
		return this.emitter.event;
	}

	report(report: InstanceReport): void {
		if (this.latest && !isNewer(report, this.latest, this.hasLeft)) {
			this.log.info('ignored a late report', {instance: report.instanceId, sequence: report.sequence, known: this.latest.instanceId});
			return;
		}

		const wasDraining = this.current?.instanceId === report.instanceId && this.current.draining;
		this.latest = report;
		this.hasLeft = false;
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
			this.end();
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
			this.end();
		}, silenceMs);
	}

	private end(): void {
		clearTimeout(this.timer);
		this.hasLeft = true;
		this.emitter.fire(undefined);
	}
}

/** Whether a report replaces the one known: a later boot, or a later report of the same boot that has not left. */
function isNewer(report: InstanceReport, known: InstanceReport, hasLeft: boolean): boolean {
	if (report.bornAtMs !== known.bornAtMs) {
		return report.bornAtMs > known.bornAtMs;
	}

	return report.instanceId === known.instanceId && report.sequence > known.sequence && !hasLeft;
}
