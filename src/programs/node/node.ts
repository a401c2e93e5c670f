import {once} from 'node:events';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {type Kernel} from '../../runtime/kernel/kernel.js';
import {LogService} from '../../runtime/log/log-service.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {AdmissionService} from '../../services/admission/admission-service.js';
import {BackendService} from '../../services/backend/backend-service.js';
import {CallerService} from '../../services/callers/caller-service.js';
import {CallExecutor} from '../../services/calls/call-executor.js';
import {CallService} from '../../services/calls/call-service.js';
import {MembershipService} from '../../services/membership/membership-service.js';
import {OwnershipService} from '../../services/ownership/ownership-service.js';
import {PolicyService} from '../../services/policy/policy-service.js';

/** One incarnation of a node: starts its services in order and stops them without interrupting running work. */
export class Node implements Disposable {
	private readonly resources = new DisposableStore();
	private readonly log: LogService;

	constructor(private readonly kernel: Kernel) {
		this.resources.add(kernel);
		this.log = kernel.get(LogService);
	}

	/** Opens the ports and joins the other nodes; requests are refused until there is a policy. */
	async start(signal: AbortSignal): Promise<void> {
		await this.kernel.get(PeerService).listen();
		this.connectBackend();
		await this.kernel.get(BackendService).listen();
		const callers = this.kernel.get(CallerService);
		await callers.listen();
		await this.kernel.get(MembershipService).start(signal, callers.port);
		await this.kernel.get(PolicyService).start(signal);
		await this.kernel.get(OwnershipService).start(signal);
		this.logPorts();
	}

	/** Announces that the node leaves, hands over its shards, finishes running work and ends the registration; throws if that takes too long. */
	async stop(): Promise<void> {
		const {shutdownTimeoutMs} = this.kernel.get(SettingsService).settings;
		const signal = AbortSignal.timeout(shutdownTimeoutMs);
		this.log.info('leaving');
		await Promise.race([this.finish(signal), rejectOnAbort(signal, `the node did not stop within ${shutdownTimeoutMs} ms: requests were still running, or a peer or the store did not answer`)]);
		this.log.info('left');
	}

	dispose(): void {
		this.resources.dispose();
	}

	private async finish(signal: AbortSignal): Promise<void> {
		this.kernel.get(MembershipService).drain();
		await this.kernel.get(OwnershipService).handOver(signal);
		await this.kernel.get(CallerService).close();
		await this.kernel.get(AdmissionService).whenIdle();
		await this.kernel.get(MembershipService).leave(signal);
		await this.kernel.get(PeerService).close();
	}

	private connectBackend(): void {
		const backend = this.kernel.get(BackendService);
		const calls = this.kernel.get(CallService);
		this.resources.add(this.kernel.create(CallExecutor));
		backend.setCallHandler(async (request, signal) => calls.call(request, signal));
		this.resources.add(backend.onDidAnnounce(announcement => {
			this.kernel.get(MembershipService).announce(announcement);
			if (announcement) {
				this.kernel.get(AdmissionService).setAnnouncedCapacity(announcement.slots, announcement.connections, announcement.port);
			}
		}));
	}

	private logPorts(): void {
		const {self} = this.kernel.get(PeerService);
		this.log.info('listening', {
			callerPort: this.kernel.get(CallerService).port,
			backendPort: this.kernel.get(BackendService).port,
			peerPort: self.peerPort,
			gossipPort: this.kernel.get(MembershipService).self.gossipPort,
			incarnation: self.incarnation,
		});
	}
}

async function rejectOnAbort(signal: AbortSignal, message: string): Promise<never> {
	await once(signal, 'abort');
	throw new Error(message);
}
