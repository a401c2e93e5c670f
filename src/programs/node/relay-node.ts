import {setTimeout as delay} from 'node:timers/promises';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {type Kernel} from '../../runtime/kernel/kernel.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsServer} from '../../runtime/metrics/metrics-server.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {ControlServer} from '../../platform/control/control-server.js';
import {ReadyServer} from '../../platform/ready-server.js';
import {InstanceService} from '../../services/backend/instance-service.js';
import {type InstanceReport} from '../../services/backend/instance-report.js';
import {MembershipService} from '../../services/membership/membership-service.js';
import {OutboundService} from '../../services/outbound/outbound-service.js';
import {PolicyService} from '../../services/policy/policy-service.js';
import {LoadLog} from '../../services/relay/load-log.js';
import {RelayExecutor} from '../../services/relay/relay-executor.js';
import {RelayService} from '../../services/relay/relay-service.js';
import {version} from './version.js';

/**
Time in which a stopping node still accepts work from other nodes for its backend server, whose capacity they lack until the node is back.
It is long enough for callers to notice that the node is not ready: they check readiness once a second and need two failed checks.
*/
const preDrainMs = 2000;
/** Time after that in which root requests are still accepted: other nodes learn that the node leaves, and its callers' last requests arrive. */
const drainMs = 800;
/** Time for peers to confirm that they send nothing more; unreachable and stopped peers never do. */
const peerCloseMs = 400;
/** Time to write the answers of requests that end with the grace period. */
const abandonMs = 150;
/** Part of the grace period that is reserved for closing connections and ending the registration. */
const closingReserveMs = 500;

/** One incarnation of a node on the platform: starts its services in order and stops them without interrupting running work. */
export class RelayNode implements Disposable {
	private readonly resources = new DisposableStore();
	private readonly log: LogService;
	private readonly executor: RelayExecutor;
	private readonly control: ControlServer;
	private readonly ready: ReadyServer;
	private isStopping = false;

	constructor(private readonly kernel: Kernel) {
		this.resources.add(kernel);
		this.log = kernel.get(LogService);
		this.executor = this.resources.add(kernel.create(RelayExecutor));
		this.control = this.resources.add(kernel.create(ControlServer));
		this.ready = this.resources.add(new ReadyServer(this.relay, () => this.isReady));
	}

	/** The ports that the node listens on; only available after `start`. */
	get ports() {
		return {outbound: this.kernel.get(OutboundService).port, control: this.control.port, ready: this.ready.port};
	}

	/** Opens the ports and joins the other nodes; requests are refused until there is a policy. */
	async start(signal: AbortSignal): Promise<void> {
		const {settings, incarnation} = this.kernel.get(SettingsService);
		this.log.info('start', {
			version, incarnation, address: settings.address, peerPort: settings.peerPort, service: this.relay.service,
		});
		this.subscribe();
		const outbound = this.kernel.get(OutboundService);
		await this.kernel.get(PeerService).listen();
		await this.control.listen();
		await this.ready.listen();
		await this.resources.add(new MetricsServer(this.kernel.get(MetricsService))).listen(settings.address, this.relay.metricsPort);
		await outbound.listen();
		await Promise.all([
			this.kernel.get(MembershipService).start(signal, this.relay.outboundPort),
			this.kernel.get(PolicyService).start(signal),
		]);
	}

	/** Stops the node: it becomes not ready, keeps serving until callers have noticed, and ends when all received requests are answered. When the grace period is nearly over, the remaining requests are answered with failures. */
	async stop(): Promise<void> {
		this.isStopping = true;
		const startedAtMs = performance.now();
		this.log.info('stop', {graceMs: this.relay.graceMs});
		this.kernel.get(OutboundService).drain();
		await delay(preDrainMs);
		this.kernel.get(MembershipService).drain();
		this.executor.drain();
		await delay(drainMs);
		this.kernel.get(OutboundService).refuseRoots();
		const remainingMs = Math.max(1, Math.floor(this.relay.graceMs - closingReserveMs - (performance.now() - startedAtMs)));
		const signal = AbortSignal.timeout(remainingMs);
		await Promise.race([this.finish(signal), delay(remainingMs)]);
		await Promise.race([this.kernel.get(OutboundService).abandon(), delay(abandonMs)]);
		this.log.info('stopped', {elapsedMs: Math.round(performance.now() - startedAtMs)});
	}

	dispose(): void {
		this.resources.dispose();
	}

	private get relay() {
		return this.kernel.get(RelaySettingsService).relay;
	}

	private get isReady(): boolean {
		return !this.isStopping && this.kernel.get(PolicyService).version > 0;
	}

	private async finish(signal: AbortSignal): Promise<void> {
		// Requests that run at the backend server may still send calls, over new connections too.
		await this.awaitStage('backend server idle', this.executor.whenIdle());
		await this.awaitStage('callers answered', this.kernel.get(OutboundService).close());
		await Promise.all([
			this.awaitStage('registration ended', this.kernel.get(MembershipService).leave(signal)),
			this.awaitStage('peer connections closed', Promise.race([this.kernel.get(PeerService).close(), delay(peerCloseMs)])),
		]);
	}

	/** Waits for a stage of the stop and logs its duration, so that the log shows which stage is slow. */
	private async awaitStage(name: string, stage: Promise<void>): Promise<void> {
		const startedAtMs = performance.now();
		await stage;
		this.log.info('stop stage over', {stage: name, elapsedMs: Math.round(performance.now() - startedAtMs)});
	}

	private subscribe(): void {
		this.resources.add(new LoadLog(this.log, [this.executor, this.kernel.get(RelayService)]));
		this.resources.add(this.kernel.get(InstanceService).onDidChange(instance => {
			this.applyInstance(instance);
		}));
		this.resources.add(this.kernel.get(StoreService).onDidChangeReachability(reachable => {
			this.log.info(reachable ? 'store back' : 'store lost');
		}));
	}

	private applyInstance(instance: InstanceReport | undefined): void {
		this.executor.applyInstance(instance);
		this.kernel.get(MembershipService).announce(instance && {
			service: instance.service,
			port: this.relay.backendPort,
			slots: instance.slots,
			connections: instance.slots,
			draining: instance.draining,
		});
	}
}
