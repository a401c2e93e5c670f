import {Kernel} from '../../../src/runtime/kernel/kernel.js';
import {FixedSettingsService} from '../../../src/runtime/settings/fixed-settings-service.js';
import {type NodeSettings} from '../../../src/runtime/settings/node-settings.js';
import {SettingsService} from '../../../src/runtime/settings/settings-service.js';
import {KvStoreService} from '../../../src/platform/store/kv-store-service.js';
import {StoreService} from '../../../src/runtime/store/store-service.js';
import {type StoreFaults} from '../store-faults.js';
import {StoreStandIn} from '../store-stand-in.js';

type Teardown = {
	teardown(release: () => void): void;
};

type OpenStore = {
	readonly standIn: StoreStandIn;
	readonly store: StoreService;
	/** Disposes the client. */
	readonly dispose: () => void;
};

/** Starts a store stand-in and a client of it; both are disposed at the end of the test. */
export async function openStore(t: Teardown, faults: StoreFaults = {}): Promise<OpenStore> {
	const standIn = new StoreStandIn();
	await standIn.listen();
	standIn.setFaults(faults);
	const settings = {
		storeUrls: [standIn.url], probeAfterMs: 200, abandonAfterMs: 300, seed: 1,
	} as unknown as NodeSettings;
	const kernel = new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(settings))
		.register(StoreService, KvStoreService);
	t.teardown(() => {
		kernel.dispose();
		standIn.dispose();
	});
	return {
		standIn,
		store: kernel.get(StoreService),
		dispose() {
			kernel.dispose();
		},
	};
}
