import {type Disposable} from '../../src/base/disposable.js';
import {FixedSettingsService} from '../../src/runtime/settings/fixed-settings-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {KvStoreService} from '../../src/platform/store/kv-store-service.js';
import {type StoreChange, type SwapResult} from '../../src/runtime/store/store-service.js';

const endlessMs = 3_600_000;
const maxAttempts = 3;

/** Naive variant of the store client: waits for answers without a bound, sends a failed swap again, and never probes its watch. */
export class UnboundedStoreService extends KvStoreService {
	constructor(@SettingsService {settings}: SettingsService) {
		super(new FixedSettingsService({...settings, probeAfterMs: endlessMs, abandonAfterMs: endlessMs}));
	}

	override async compareAndSwap(key: string, expectedModRevision: number, value: string): Promise<SwapResult> {
		for (let attempt = 1; ; attempt++) {
			try {
				return await super.compareAndSwap(key, expectedModRevision, value);
			} catch (error) {
				if (attempt === maxAttempts) {
					throw error;
				}
			}
		}
	}

	override watch(prefix: string, listener: (change: StoreChange) => void): Disposable {
		return super.watch(prefix, listener, {checkIntervalMs: endlessMs});
	}
}
