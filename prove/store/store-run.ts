import {setTimeout as sleep} from 'node:timers/promises';
import {Kernel} from '../../src/runtime/kernel/kernel.js';
import {FixedSettingsService} from '../../src/runtime/settings/fixed-settings-service.js';
import {type NodeSettings} from '../../src/runtime/settings/node-settings.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {StoreService} from '../../src/runtime/store/store-service.js';
import {StoreStandIn} from '../../standins/store/store-stand-in.js';
import {checkStoreHistory} from './check-store-history.js';
import {type StoreCall} from './store-call.js';
import {type StoreStep} from './store-step.js';
import {StoreStepKind} from './store-step-kind.js';

/** A class that implements the store service of a run. */
type StoreServiceClass = new (...services: any[]) => StoreService;

type CallResult = Partial<Pick<StoreCall, 'value' | 'swapped'>>;

const key = '/proof/key';
const probeAfterMs = 60;
const abandonAfterMs = 60;
/** Time after which a call counts as endless; far longer than the client's own bound, as the machine may be busy. */
const boundMs = 10 * (probeAfterMs + abandonAfterMs);
const watchCheckMs = 100;
const watchBoundMs = 3000;
const leaseTtlMs = 60_000;
const slowMs = 20;
const lossFraction = 0.5;
const pollMs = 5;

/** Runs one schedule of calls and faults against the stand-in and records its history. */
export class StoreRun {
	readonly calls: StoreCall[] = [];
	readonly faultsByKind: Record<string, number> = {};
	private readonly standIn = new StoreStandIn();
	private readonly pending: Array<Promise<void>> = [];
	private readonly storedValues: string[] = [];
	private watchedValue: string | undefined;
	/** Incremented with every fault other than silent connections, to detect faults that start during a call. */
	private faultCount = 0;
	private hasFault = false;
	private valueCount = 0;

	constructor(private readonly seed: number, private readonly storeClass: StoreServiceClass) {}

	async run(steps: readonly StoreStep[]): Promise<string[]> {
		await this.standIn.listen();
		const kernel = this.createKernel();
		try {
			const store = kernel.get(StoreService);
			await this.runSchedule(store, steps);
			await this.waitForWatch();
			return checkStoreHistory({
				calls: this.calls, storedValues: this.storedValues, watchedValue: this.watchedValue, boundMs,
			});
		} finally {
			kernel.dispose();
			this.standIn.dispose();
		}
	}

	private createKernel(): Kernel {
		const settings = {
			storeUrls: [this.standIn.url], probeAfterMs, abandonAfterMs, seed: this.seed,
		} as unknown as NodeSettings;
		return new Kernel()
			.registerInstance(SettingsService, new FixedSettingsService(settings))
			.register(StoreService, this.storeClass);
	}

	private async runSchedule(store: StoreService, steps: readonly StoreStep[]): Promise<void> {
		this.standIn.state.onDidChange(change => {
			if (change.key === key && change.entry) {
				this.storedValues.push(change.entry.value);
			}
		});
		const leaseId = await store.grantLease(leaseTtlMs);
		store.watch(key, change => {
			this.watchedValue = change.entry?.value;
		}, {checkIntervalMs: watchCheckMs});
		for (const {kind, pauseMs} of steps) {
			this.runStep(kind, store, leaseId);
			await sleep(pauseMs);
		}

		await Promise.all(this.pending);
		this.heal();
	}

	private runStep(kind: StoreStepKind, store: StoreService, leaseId: string): void {
		switch (kind) {
			case StoreStepKind.Read: {
				this.call('read', async () => {
					await store.get(key);
					return {};
				});
				break;
			}

			case StoreStepKind.Renewal: {
				this.call('renewal', async () => {
					await store.renewLease(leaseId);
					return {};
				});
				break;
			}

			case StoreStepKind.Swap: {
				this.swap(store);
				break;
			}

			case StoreStepKind.OtherWrite: {
				this.standIn.state.put(key, this.newValue(), undefined);
				break;
			}

			case StoreStepKind.Heal: {
				this.heal();
				break;
			}

			case StoreStepKind.Silent:
			case StoreStepKind.SilentWatches:
			case StoreStepKind.LostAnswers:
			case StoreStepKind.Slow:
			case StoreStepKind.Outage: {
				this.injectFault(kind);
				break;
			}
		}
	}

	private injectFault(kind: StoreStepKind): void {
		this.faultsByKind[kind] = (this.faultsByKind[kind] ?? 0) + 1;
		if (kind !== StoreStepKind.Silent && kind !== StoreStepKind.SilentWatches) {
			this.faultCount++;
			this.hasFault = true;
		}

		this.standIn.setFaults({
			silent: kind === StoreStepKind.Silent,
			silentWatches: kind === StoreStepKind.SilentWatches,
			loseAnswers: kind === StoreStepKind.LostAnswers ? lossFraction : undefined,
			slowMs: kind === StoreStepKind.Slow ? slowMs : undefined,
			outage: kind === StoreStepKind.Outage ? true : undefined,
			seed: this.seed,
		});
	}

	private heal(): void {
		this.hasFault = false;
		this.standIn.setFaults({outage: false, slowMs: 0, loseAnswers: 0});
	}

	private newValue(): string {
		this.valueCount++;
		return `value-${this.valueCount}`;
	}

	private swap(store: StoreService): void {
		const modRevision = this.standIn.state.get(key)?.modRevision ?? 0;
		const value = this.newValue();
		this.call('swap', async () => {
			const {swapped} = await store.compareAndSwap(key, modRevision, value);
			return {swapped};
		}, value);
	}

	private call(kind: StoreCall['kind'], action: () => Promise<CallResult>, value?: string): void {
		this.pending.push(this.callAndRecord(kind, action, value));
	}

	private async callAndRecord(kind: StoreCall['kind'], action: () => Promise<CallResult>, value?: string): Promise<void> {
		const {faultCount, hasFault} = this;
		const startedAtMs = performance.now();
		const result = await Promise.race([tryCall(action), sleep(boundMs, 'endless' as const)]);
		this.calls.push({
			kind,
			value,
			durationMs: result === 'endless' ? undefined : performance.now() - startedAtMs,
			answered: typeof result === 'object',
			swapped: typeof result === 'object' ? result.swapped : undefined,
			metOnlySilence: !hasFault && faultCount === this.faultCount,
		});
	}

	/** Waits until the watch has caught up, for at most `watchBoundMs`. */
	private async waitForWatch(): Promise<void> {
		const endAtMs = performance.now() + watchBoundMs;
		while (this.watchedValue !== this.storedValues.at(-1) && performance.now() < endAtMs) {
			await sleep(pollMs);
		}
	}
}

async function tryCall(action: () => Promise<CallResult>): Promise<CallResult | 'failed'> {
	try {
		return await action();
	} catch {
		return 'failed';
	}
}
