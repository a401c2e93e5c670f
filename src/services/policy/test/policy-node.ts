import {type Disposable} from '../../../base/disposable.js';
import {Kernel} from '../../../runtime/kernel/kernel.js';
import {LogService} from '../../../runtime/log/log-service.js';
import {PeerService} from '../../../runtime/peer/peer-service.js';
import {FixedSettingsService} from '../../../runtime/settings/fixed-settings-service.js';
import {type NodeSettings} from '../../../runtime/settings/node-settings.js';
import {SettingsService} from '../../../runtime/settings/settings-service.js';
import {StoreService} from '../../../runtime/store/store-service.js';
import {PolicyService} from '../policy-service.js';
import {StoredPolicyService} from '../stored-policy-service.js';
import {LocalPeers} from './local-peers.js';
import {type MemoryStore} from './memory-store.js';

const ignore = (): void => undefined;

/** The real policy service with an in-memory store and in-memory peers. */
export class PolicyNode implements Disposable {
	readonly peers: LocalPeers;
	readonly policy: PolicyService;
	/** Versions that were in force at this node, in order. */
	readonly versions: number[] = [];
	private readonly kernel: Kernel;

	constructor(nodeId: string, store: MemoryStore, nodes: Map<string, LocalPeers>) {
		const settings = {
			nodeId, probeAfterMs: 500, abandonAfterMs: 500, seed: nodeId.length,
		} as unknown as NodeSettings;
		this.peers = new LocalPeers(nodeId, nodes);
		this.kernel = new Kernel()
			.registerInstance(SettingsService, new FixedSettingsService(settings))
			.registerInstance(StoreService, store)
			.registerInstance(PeerService, this.peers)
			.registerInstance(LogService, {
				debug: ignore, info: ignore, warn: ignore, error: ignore,
			})
			.register(PolicyService, StoredPolicyService);
		this.policy = this.kernel.get(PolicyService);
		this.policy.onDidChange(({version}) => {
			this.versions.push(version);
		});
	}

	dispose(): void {
		this.kernel.dispose();
	}
}
