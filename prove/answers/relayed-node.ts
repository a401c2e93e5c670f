import {type Disposable} from '../../src/base/disposable.js';
import {DisposableStore} from '../../src/base/disposable-store.js';
import {Emitter} from '../../src/base/emitter.js';
import {type Kernel} from '../../src/runtime/kernel/kernel.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {testSettings} from '../../src/runtime/peer/test/peer-fixture.js';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {AdmissionService} from '../../src/services/admission/admission-service.js';
import {AnnouncedLimitService} from '../../src/services/admission/announced-limit-service.js';
import {ConcurrencyLimitService} from '../../src/services/admission/limit-service.js';
import {AdmitAllThresholdService} from '../../src/services/admission/admit-all-threshold-service.js';
import {ThresholdService} from '../../src/services/admission/threshold-service.js';
import {BackendService} from '../../src/services/backend/backend-service.js';
import {CallerService} from '../../src/services/callers/caller-service.js';
import {StatusService} from '../../src/services/callers/status-service.js';
import {CallExecutor} from '../../src/services/calls/call-executor.js';
import {CallService} from '../../src/services/calls/call-service.js';
import {MemberState} from '../../src/services/membership/member-state.js';
import {type Member} from '../../src/services/membership/member.js';
import {MembershipService} from '../../src/services/membership/membership-service.js';
import {OwnershipService} from '../../src/services/ownership/ownership-service.js';
import {type Policy} from '../../src/services/policy/policy.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {RetryService} from '../../src/services/retries/retry-service.js';
import {TcpRelay} from '../../standins/relay/tcp-relay.js';
import {type History} from '../history/history.js';
import {FixedMembershipService} from './fixed-membership-service.js';
import {MarkedBackendServer} from './marked-backend-server.js';
import {SingleExecutionOwnershipService} from './single-execution-ownership-service.js';

type PeerConstructor = new (...services: any[]) => PeerService;

const slots = 64;
const noop = () => undefined;

/** The services of one node on loopback, its backend server, and a relay in front of each of the two. */
export class RelayedNode implements Disposable {
	peerRelay!: TcpRelay;
	backendRelay!: TcpRelay;
	private readonly resources = new DisposableStore();
	private readonly kernel: Kernel;
	private readonly backendServer: MarkedBackendServer;
	private membership!: FixedMembershipService;

	constructor(readonly nodeId: string, private readonly service: string, policy: Policy, history: History, peerClass: PeerConstructor) {
		this.backendServer = this.resources.add(new MarkedBackendServer(nodeId, history));
		this.kernel = this.resources.add(createKernel(testSettings(nodeId)))
			.registerInstance(LogService, {
				debug: noop, info: noop, warn: noop, error: noop,
			})
			.registerInstance(PolicyService, {current: policy, version: policy.version, onDidChange: new Emitter().event} as unknown as PolicyService)
			.registerInstance(RetryService, {recordCall: noop, grant: async () => false, admitAttempt: async () => true})
			.registerInstance(StatusService, {report: noop})
			.register(ConcurrencyLimitService, AnnouncedLimitService)
			.register(ThresholdService, AdmitAllThresholdService)
			.register(OwnershipService, SingleExecutionOwnershipService)
			.register(PeerService, peerClass);
	}

	get callerUrl(): string {
		return `http://127.0.0.1:${this.kernel.get(CallerService).port}`;
	}

	/** The node's member entry with the port of its relay, through which peers reach it. */
	get member(): Member {
		return {...this.membership.self, peerPort: this.peerRelay.port};
	}

	async start(): Promise<void> {
		const peers = this.kernel.get(PeerService);
		await peers.listen();
		this.membership = new FixedMembershipService({
			...peers.self,
			availabilityZone: 'zone-a',
			region: 'test',
			gossipPort: 0,
			callerPort: 0,
			state: MemberState.Serving,
			service: this.service,
			slots,
			connections: slots,
			policyVersion: 1,
			revision: 1,
		});
		this.kernel.registerInstance(MembershipService, this.membership);
		this.resources.add(this.kernel.create(CallExecutor));
		const calls = this.kernel.get(CallService);
		const backend = this.kernel.get(BackendService);
		backend.setCallHandler(async (request, signal) => calls.call(request, signal));
		await backend.listen();
		await this.kernel.get(CallerService).listen();
		await this.backendServer.listen();
		this.peerRelay = await this.relayTo(peers.self.peerPort);
		this.backendRelay = await this.relayTo(this.backendServer.port);
		await this.announce(backend.port);
	}

	/** Sets the members that the node knows. */
	setMembers(members: readonly Member[]): void {
		this.membership.members = members;
	}

	dispose(): void {
		this.resources.dispose();
	}

	private async relayTo(port: number): Promise<TcpRelay> {
		const relay = this.resources.add(new TcpRelay(port));
		await relay.listen();
		return relay;
	}

	private async announce(backendPort: number): Promise<void> {
		this.kernel.get(AdmissionService).setAnnouncedCapacity(slots, slots, this.backendRelay.port);
		await fetch(`http://127.0.0.1:${backendPort}/announce`, {
			method: 'POST', body: JSON.stringify({
				service: this.service, port: this.backendRelay.port, slots, connections: slots, state: 'serving',
			}),
		});
	}
}
