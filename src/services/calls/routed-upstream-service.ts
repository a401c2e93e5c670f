import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type Member} from '../membership/member.js';
import {RoutingService} from '../routing/routing-service.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';
import {dropMethod} from './drop-method.js';
import {executeMethod} from './execute-method.js';
import {type ExecutionReply} from './execution-reply.js';
import {type UpstreamCall, type UpstreamService} from './upstream-service.js';

/** Maximum number of upstreams tried for one execution, as long as each certainly did not start it. */
const maxUpstreamsTried = 4;

/** Time after the deadline within which an upstream may still report that a call had not started by then. */
const lateReplyGraceMs = 250;
const dropTimeoutMs = 1000;

/** Failures that concern only one upstream, so that another one is tried immediately. */
const reroutedKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.PeerUnreachable,
	ErrorKind.PeerChanged,
	ErrorKind.Draining,
	ErrorKind.BackendUnreachable,
]);

/** Executes calls at upstreams that routing chooses, and skips those that cannot accept calls. */
export class RoutedUpstreamService implements UpstreamService {
	constructor(
		@RoutingService private readonly routing: RoutingService,
		@PeerService private readonly peers: PeerService,
	) {}

	async execute(request: CallRequest, call: UpstreamCall, signal: AbortSignal): Promise<CallAnswer> {
		const exclude = new Set(call.exclude);
		let failure: KumquatlineError | undefined;
		for (let triedCount = 0; triedCount < maxUpstreamsTried; triedCount++) {
			const member = this.routing.choose(request.service, exclude);
			if (!member) {
				break;
			}

			try {
				return await this.executeAt(member, request, call, signal);
			} catch (error) {
				failure = toExecutionFailure(error);
				if (failure.started !== false || !reroutedKinds.has(failure.kind)) {
					throw failure;
				}

				exclude.add(member.nodeId);
			}
		}

		throw failure ?? new KumquatlineError(ErrorKind.NoUpstream, `no upstream of service ${request.service} accepts requests`, {
			execution: Execution.NotRun,
			started: false,
		});
	}

	private async executeAt(member: Member, request: CallRequest, call: UpstreamCall, signal: AbortSignal): Promise<CallAnswer> {
		let load: UpstreamLoad | undefined;
		try {
			const timeoutMs = request.context.deadlineAtMs - Date.now();
			if (timeoutMs <= 0) {
				throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the call was sent', {started: false});
			}

			call.onWillSend?.(member.nodeId);
			const reply = await this.send(member, request, call, timeoutMs, signal);
			load = reply.load;
			if (reply.answer) {
				return reply.answer;
			}

			throw fromWireError(reply.failure ?? {kind: ErrorKind.PeerProtocol, message: 'the reply contains neither an answer nor a failure'});
		} finally {
			this.routing.recordReply(member, load);
		}
	}

	/** Waits slightly longer for a call that may be executed only once, since its upstream reports whether it had started by the deadline. */
	private async send(member: Member, request: CallRequest, {callId, dropSignal}: UpstreamCall, remainingMs: number, signal: AbortSignal): Promise<ExecutionReply> {
		const drop = () => {
			void this.drop(member, callId);
		};

		dropSignal?.addEventListener('abort', drop);
		try {
			const timeoutMs = request.idempotent ? remainingMs : remainingMs + lateReplyGraceMs;
			return await this.peers.call(member, executeMethod, request, {callId, timeoutMs, signal});
		} finally {
			dropSignal?.removeEventListener('abort', drop);
		}
	}

	private async drop(member: Member, callId: string): Promise<void> {
		try {
			await this.peers.call(member, dropMethod, {callId}, {timeoutMs: dropTimeoutMs});
		} catch (error) {
			if (!(error instanceof KumquatlineError)) {
				throw error;
			}
		}
	}
}

/** Adds to a failure whether the execution may have started. */
function toExecutionFailure(error: unknown): KumquatlineError {
	if (!(error instanceof KumquatlineError)) {
		return new KumquatlineError(ErrorKind.Internal, 'unexpected error during a call', {execution: Execution.Unknown, cause: error});
	}

	const wasNeverSent = error.kind === ErrorKind.PeerUnreachable || error.kind === ErrorKind.PeerChanged;
	const started = wasNeverSent ? false : error.started;
	const {kind, message, retryAfterMs} = error;
	return new KumquatlineError(kind, message, {
		execution: started === false ? Execution.NotRun : Execution.Unknown,
		started,
		retryAfterMs,
		cause: error,
	});
}
