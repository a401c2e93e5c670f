import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {MetricsService} from '../../platform/metrics/metrics-service.js';
import {PeerService} from '../../platform/peer/peer-service.js';
import {AdmissionService} from '../admission/admission-service.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {BackendService} from '../backend/backend-service.js';
import {MemberState} from '../membership/member-state.js';
import {MembershipService} from '../membership/membership-service.js';
import {RoutingService} from '../routing/routing-service.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';
import {executeMethod} from './execute-method.js';
import {type ExecutionReply} from './execution-reply.js';

/** Runs the calls that peers send for the VM's own backend server, as admission lets them through. */
export class CallExecutor implements Disposable {
	private readonly handler: Disposable;

	constructor(
		@PeerService peers: PeerService,
		@AdmissionService private readonly admission: AdmissionService,
		@BackendService private readonly backend: BackendService,
		@MembershipService private readonly membership: MembershipService,
		@RoutingService private readonly routing: RoutingService,
		@MetricsService private readonly metrics: MetricsService,
	) {
		this.handler = peers.handle(executeMethod, async (request, call) => this.reply(request, call.signal));
	}

	dispose(): void {
		this.handler.dispose();
	}

	private async reply(request: CallRequest, signal: AbortSignal): Promise<ExecutionReply> {
		try {
			const answer = await this.execute(request, signal);
			return {answer, load: this.load()};
		} catch (error) {
			const failure = toWireError(error);
			if (failure.kind === ErrorKind.BackendShed) {
				this.admission.noteShed();
			}

			return {failure, load: this.load()};
		}
	}

	private load(): UpstreamLoad {
		return {...this.admission.load, heard: this.routing.heard};
	}

	private async execute(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		const {announcement} = this.backend;
		if (announcement?.service !== request.service) {
			throw new KumquatlineError(ErrorKind.BackendUnreachable, `no backend server of ${request.service} here`, {started: false});
		}

		if (announcement.draining || this.membership.self.state === MemberState.Draining) {
			throw new KumquatlineError(ErrorKind.Draining, 'the backend server is leaving', {started: false});
		}

		const queuedAtMs = performance.now();
		return this.admission.run(request.context, async (ownTime, workSignal) => {
			this.metrics.record('queue_wait', performance.now() - queuedAtMs, {caller: request.context.caller, operation: request.operation});
			if (Date.now() >= request.context.deadlineAtMs) {
				throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed in the queue', {started: false});
			}

			return this.backend.invoke(request, ownTime, workSignal);
		}, signal);
	}
}
