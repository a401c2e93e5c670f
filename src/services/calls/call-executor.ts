import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {type PeerCall, PeerService} from '../../runtime/peer/peer-service.js';
import {AdmissionService} from '../admission/admission-service.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {BackendService} from '../backend/backend-service.js';
import {MemberState} from '../membership/member-state.js';
import {MembershipService} from '../membership/membership-service.js';
import {RoutingService} from '../routing/routing-service.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';
import {dropMethod} from './drop-method.js';
import {executeMethod} from './execute-method.js';
import {type ExecutionReply} from './execution-reply.js';

/** Executes the calls that peers send for the VM's own backend server, once admission admits them. */
export class CallExecutor implements Disposable {
	private readonly handlers = new DisposableStore();
	/** Calls that have not started yet and may be dropped, by call id. */
	private readonly waiting = new Map<string, AbortController>();

	constructor(
		@PeerService peers: PeerService,
		@AdmissionService private readonly admission: AdmissionService,
		@BackendService private readonly backend: BackendService,
		@MembershipService private readonly membership: MembershipService,
		@RoutingService private readonly routing: RoutingService,
		@MetricsService private readonly metrics: MetricsService,
	) {
		this.handlers.add(peers.handle(executeMethod, async (request, call) => this.reply(request, call)));
		this.handlers.add(peers.handle(dropMethod, async ({callId}) => {
			this.waiting.get(callId)?.abort();
			return {};
		}));
	}

	dispose(): void {
		this.handlers.dispose();
	}

	private async reply(request: CallRequest, call: PeerCall): Promise<ExecutionReply> {
		try {
			const answer = await this.execute(request, call);
			return {answer, load: this.load()};
		} catch (error) {
			const failure = toWireError(error);
			if (failure.kind === ErrorKind.BackendShed) {
				this.admission.recordShed();
			}

			return {failure, load: this.load()};
		}
	}

	private load(): UpstreamLoad {
		return {...this.admission.load, heard: this.routing.heard};
	}

	private async execute(request: CallRequest, call: PeerCall): Promise<CallAnswer> {
		const {announcement} = this.backend;
		if (announcement?.service !== request.service) {
			throw new KumquatlineError(ErrorKind.BackendUnreachable, `no backend server of service ${request.service} on this node`, {started: false});
		}

		if (announcement.draining || this.membership.self.state === MemberState.Draining) {
			throw new KumquatlineError(ErrorKind.Draining, 'the backend server is draining', {started: false});
		}

		if (request.idempotent) {
			return this.executeOnAdmission(request, call.signal, call.signal);
		}

		const waiting = new AbortController();
		this.waiting.set(call.callId, waiting);
		try {
			return await this.executeOnAdmission(request, AbortSignal.any([call.signal, waiting.signal]), call.signal, () => {
				this.waiting.delete(call.callId);
			});
		} finally {
			this.waiting.delete(call.callId);
		}
	}

	/** Waits for admission until `waitSignal` is aborted, then executes the call until `executionSignal` is aborted. */
	private async executeOnAdmission(request: CallRequest, waitSignal: AbortSignal, executionSignal: AbortSignal, onStart?: () => void): Promise<CallAnswer> {
		const queuedAtMs = performance.now();
		return this.admission.run(request.context, async selfTime => {
			onStart?.();
			this.metrics.record('queue_wait', performance.now() - queuedAtMs, {caller: request.context.caller, operation: request.operation});
			if (Date.now() >= request.context.deadlineAtMs) {
				throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed while the request was queued', {started: false});
			}

			return this.backend.invoke(request, selfTime, executionSignal);
		}, waitSignal);
	}
}
