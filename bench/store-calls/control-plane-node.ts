import {type Disposable} from '../../src/base/disposable.js';
import {type Kernel} from '../../src/runtime/kernel/kernel.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {type NodeSettings} from '../../src/runtime/settings/node-settings.js';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';

const noop = (): void => undefined;
/** Announced but unused: these nodes serve no callers. */
const callerPort = 1;

/** The control plane of a node: store client, peers, membership and policy, composed as in the node program. */
export class ControlPlaneNode implements Disposable {
	readonly policy: PolicyService;
	private readonly kernel: Kernel;

	constructor(nodeId: string, availabilityZone: string, storeUrl: string, seed: number) {
		const settings: NodeSettings = {
			nodeId,
			availabilityZone,
			address: '127.0.0.1',
			region: 'default',
			callerPort: 0,
			backendPort: 0,
			peerPort: 0,
			gossipPort: 0,
			storeUrls: [storeUrl],
			seedAddresses: [],
			leaseTtlMs: 10_000,
			leaseMarginMs: 1000,
			clockSkewBoundMs: 250,
			shutdownTimeoutMs: 1000,
			probeAfterMs: 300,
			abandonAfterMs: 500,
			gossipIntervalMs: 500,
			logLevel: 'error',
			statsdAddress: '',
			seed,
		};
		this.kernel = createKernel(settings).registerInstance(LogService, {
			debug: noop, info: noop, warn: noop, error: noop,
		});
		this.policy = this.kernel.get(PolicyService);
	}

	async start(): Promise<void> {
		const {signal} = new AbortController();
		await this.kernel.get(PeerService).listen();
		await this.kernel.get(MembershipService).start(signal, callerPort);
		await this.policy.start(signal);
	}

	dispose(): void {
		this.kernel.dispose();
	}
}
