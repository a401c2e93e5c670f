import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {LogService} from '../../runtime/log/log-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {type InstanceReport} from './instance-report.js';
import {type InstanceService} from './instance-service.js';

/** Missed reports after which a backend server counts as silent; a single one may be seconds late. */
const maxMissedReports = 4;
/** Time after a departure within which reports that were sent before it may still arrive. */
const lateReportWindowMs = 10_000;

/** Tracks the instances of the VM's backend server by their reports; late reports of earlier instances are ignored. */
export class InstanceTracker implements InstanceService, Disposable {
	private readonly emitter = new Emitter<InstanceReport | undefined>();
	private latest: InstanceReport | undefined;
	/** The latest instance reported its own departure, after which none of its reports counts. */
	private hasDeparted = false;
	/** Boot time of the instance that has stated that it leaves. */
	private leavingBootedAtMs: number | undefined;
	/** Reports are missing, which may also be a fault of this VM; the next report resets this. */
	private isSilent = false;
	/** Departures of instances that are unknown because this node has just started, with their wall-clock time. */
	private readonly unknownDepartures = new Map<string, number>();
	private timer: NodeJS.Timeout | undefined;

	constructor(
		@RelaySettingsService private readonly settings: RelaySettingsService,
		@LogService private readonly log: LogService,
	) {}

	get current(): InstanceReport | undefined {
		return this.hasDeparted || this.isSilent ? undefined : this.latest;
	}

	get onDidChange(): Event<InstanceReport | undefined> {
		return this.emitter.event;
	}

	report(received: InstanceReport): void {
		if (!this.counts(received)) {
			this.log.info('ignored a late report', {instance: received.instanceId, sequence: received.sequence, known: this.latest?.instanceId});
			return;
		}

		const report = {...received, draining: received.draining || received.bootedAtMs === this.leavingBootedAtMs};
		const wasDraining = this.current?.instanceId === report.instanceId && this.current.draining;
		this.latest = report;
		this.hasDeparted = false;
		this.isSilent = false;
		this.restartSilenceTimer();
		this.log.debug('accepted a report', {instance: report.instanceId, sequence: report.sequence});
		if (report.draining && !wasDraining) {
			this.log.info('backend server is draining', {instance: report.instanceId, sequence: report.sequence});
		}

		this.emitter.fire(report);
	}

	recordLeaving({instanceId, bootedAtMs}: Pick<InstanceReport, 'instanceId' | 'bootedAtMs'>): void {
		const {current} = this;
		if (current?.instanceId !== instanceId || current.bootedAtMs !== bootedAtMs || current.draining) {
			return;
		}

		this.log.info('backend server states that it leaves', {instance: instanceId});
		this.leavingBootedAtMs = bootedAtMs;
		this.latest = {...current, draining: true};
		this.emitter.fire(this.latest);
	}

	recordDeparture(instanceId: string): void {
		if (this.latest?.instanceId === instanceId && !this.hasDeparted) {
			this.log.info('backend server has left', {instance: instanceId});
			this.hasDeparted = true;
			this.endInstance();
		} else if (this.latest?.instanceId !== instanceId) {
			this.log.info('an unknown backend server has left', {instance: instanceId, known: this.latest?.instanceId});
			this.unknownDepartures.set(instanceId, Date.now());
			setTimeout(() => {
				this.unknownDepartures.delete(instanceId);
			}, lateReportWindowMs).unref();
		}
	}

	dispose(): void {
		clearTimeout(this.timer);
		this.emitter.dispose();
	}

	private restartSilenceTimer(): void {
		clearTimeout(this.timer);
		const silenceMs = this.settings.relay.announceIntervalMs * maxMissedReports;
		this.timer = setTimeout(() => {
			this.log.warn('backend server reports no more', {instance: this.latest?.instanceId, silenceMs});
			this.isSilent = true;
			this.endInstance();
		}, silenceMs);
	}

	private endInstance(): void {
		clearTimeout(this.timer);
		this.emitter.fire(undefined);
	}

	/** Whether a report is new, and was not sent before the departure of its instance. */
	private counts(report: InstanceReport): boolean {
		const departedAtMs = this.unknownDepartures.get(report.instanceId) ?? Number.NEGATIVE_INFINITY;
		return report.bootedAtMs > departedAtMs && (!this.latest || isNewer(report, this.latest, this.hasDeparted));
	}
}

/** Whether a report replaces the known one: it is from a later instance, or a later report of the same instance, which has not departed. */
function isNewer(report: InstanceReport, known: InstanceReport, hasDeparted: boolean): boolean {
	if (report.bootedAtMs !== known.bootedAtMs) {
		return report.bootedAtMs > known.bootedAtMs;
	}

	return report.instanceId === known.instanceId && report.sequence > known.sequence && !hasDeparted;
}
