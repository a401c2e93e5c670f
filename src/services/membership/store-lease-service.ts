import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {Waiter} from '../../base/waiter.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {type LeaseService, type Registration} from './lease-service.js';
import {SeededRandom} from './seeded-random.js';

/** Number of renewals per time to live. */
const renewalsPerTtl = 3;
/** Fraction by which the time between renewals varies, so that the load that nodes put on the store is spread. */
const jitterFraction = 0.2;
/** Delay after the first failed call to the store; doubled after each further failure, up to the time between renewals. */
const firstRetryMs = 250;
const maxWriteTries = 3;

/** Keeps a lease in the store by renewing it periodically; a lapsed lease is replaced by a new one. */
export class StoreLeaseService implements LeaseService, Disposable {
	readonly onDidGrant;
	private readonly grantEmitter = new Emitter<string>();
	private readonly stop = new AbortController();
	private readonly random: SeededRandom;
	private readonly waiter = new Waiter();
	private currentLeaseId: string | undefined;
	private validSinceMonotonicMs = 0;
	private validSinceWallMs = 0;
	private registration: Registration | undefined;
	private writtenLeaseId: string | undefined;
	private writtenValue: string | undefined;
	private writtenRevision = 0;
	private failures = 0;
	private startPromise: Promise<void> | undefined;

	constructor(
		@SettingsService private readonly settings: SettingsService,
		@StoreService private readonly store: StoreService,
		@LogService private readonly log: LogService,
		@MetricsService private readonly metrics: MetricsService,
	) {
		this.onDidGrant = this.grantEmitter.event;
		this.random = new SeededRandom(settings.settings.seed, settings.settings.nodeId);
	}

	get leaseId(): string | undefined {
		return this.currentLeaseId;
	}

	isHeld(): boolean {
		if (this.currentLeaseId === undefined || this.writtenLeaseId !== this.currentLeaseId) {
			return false;
		}

		const {leaseTtlMs, leaseMarginMs} = this.settings.settings;
		const validityMs = leaseTtlMs - leaseMarginMs;
		return performance.now() < this.validSinceMonotonicMs + validityMs && Date.now() < this.validSinceWallMs + validityMs;
	}

	setRegistration(registration: Registration): void {
		this.registration = registration;
		this.waiter.wake();
	}

	async start(signal: AbortSignal): Promise<void> {
		this.startPromise ??= this.startRenewing(signal);
		return this.startPromise;
	}

	async revoke(signal: AbortSignal): Promise<void> {
		this.stop.abort();
		const leaseId = this.currentLeaseId;
		this.currentLeaseId = undefined;
		if (leaseId !== undefined) {
			await this.store.revokeLease(leaseId, signal);
		}
	}

	dispose(): void {
		this.stop.abort();
		this.currentLeaseId = undefined;
		this.grantEmitter.dispose();
	}

	/** Restarts the validity of the lease from the time at which the acknowledged call was sent, not from the arrival of the acknowledgment. */
	protected extendValidity(sentMonotonicMs: number, sentWallMs: number): void {
		this.validSinceMonotonicMs = sentMonotonicMs;
		this.validSinceWallMs = sentWallMs;
	}

	private async startRenewing(signal: AbortSignal): Promise<void> {
		await this.grantOrRenew(signal);
		void this.runRenewals(this.stop.signal);
	}

	/** Renews the lease until the signal is aborted. */
	private async runRenewals(stopped: AbortSignal): Promise<void> {
		while (!stopped.aborted) {
			await this.waiter.wait(this.nextDelayMs(), stopped);
			if (!stopped.aborted) {
				await this.grantOrRenew(stopped);
			}
		}
	}

	private nextDelayMs(): number {
		const renewalMs = this.settings.settings.leaseTtlMs / renewalsPerTtl;
		const waitMs = this.failures === 0 ? renewalMs : Math.min(renewalMs, firstRetryMs * (2 ** (this.failures - 1)));
		return this.random.jitter(waitMs, jitterFraction);
	}

	private async grantOrRenew(stopped: AbortSignal): Promise<void> {
		try {
			await (this.currentLeaseId === undefined ? this.grant(stopped) : this.renew(stopped));
			await this.writeRegistration(stopped);
			this.failures = 0;
		} catch (error) {
			this.failures++;
			this.metrics.count('lease.failed');
			this.log.debug('failed to obtain or renew the lease or to write the registration; will retry', {reason: String(error)});
		}
	}

	private async grant(stopped: AbortSignal): Promise<void> {
		const monotonicMs = performance.now();
		const wallMs = Date.now();
		const leaseId = await this.store.grantLease(this.settings.settings.leaseTtlMs, stopped);
		if (stopped.aborted) {
			return;
		}

		this.currentLeaseId = leaseId;
		this.extendValidity(monotonicMs, wallMs);
		this.metrics.count('lease.granted');
	}

	private async renew(stopped: AbortSignal): Promise<void> {
		const leaseId = this.currentLeaseId!;
		const monotonicMs = performance.now();
		const wallMs = Date.now();
		if (await this.store.renewLease(leaseId, stopped)) {
			this.extendValidity(monotonicMs, wallMs);
			return;
		}

		this.log.warn('lease lapsed', {leaseId});
		this.metrics.count('lease.lapsed');
		this.currentLeaseId = undefined;
		this.writtenRevision = 0;
		await this.grant(stopped);
	}

	private async writeRegistration(stopped: AbortSignal): Promise<void> {
		const leaseId = this.currentLeaseId;
		const {registration} = this;
		if (leaseId === undefined || !registration || (this.writtenLeaseId === leaseId && this.writtenValue === registration.value)) {
			return;
		}

		for (let tries = 0; tries < maxWriteTries; tries++) {
			if (await this.tryWrite(registration, leaseId, stopped)) {
				this.recordWritten(registration.value, leaseId);
				return;
			}
		}

		throw new Error(`registration ${registration.key} was not written because of concurrent changes`);
	}

	/** Makes one compare-and-swap against the last known revision; an entry that already has this value and lease counts as written. */
	private async tryWrite(registration: Registration, leaseId: string, stopped: AbortSignal): Promise<boolean> {
		const result = await this.store.compareAndSwap(registration.key, this.writtenRevision, registration.value, leaseId, stopped);
		if (result.swapped) {
			this.writtenRevision = result.modRevision;
			return true;
		}

		const found = result.current;
		if (found && !registration.mayReplace(found.value)) {
			this.metrics.count('lease.registration.taken');
			throw new Error(`registration ${registration.key} belongs to another incarnation of the node`);
		}

		this.writtenRevision = found?.modRevision ?? 0;
		return found?.value === registration.value && found.leaseId === leaseId;
	}

	private recordWritten(value: string, leaseId: string): void {
		const isNew = this.writtenLeaseId !== leaseId;
		this.writtenLeaseId = leaseId;
		this.writtenValue = value;
		if (isNew) {
			this.grantEmitter.fire(leaseId);
		}
	}
}
