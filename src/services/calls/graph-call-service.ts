import {createUuid} from '../../base/create-uuid.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {OwnershipService} from '../ownership/ownership-service.js';
import {RetryService} from '../retries/retry-service.js';
import {type CallAnswer} from './call-answer.js';
import {type CallRequest} from './call-request.js';
import {type CallService} from './call-service.js';
import {UpstreamService} from './upstream-service.js';

/** Failures after which an idempotent call may be retried. */
const retriedKinds: ReadonlySet<ErrorKind> = new Set([
	ErrorKind.PeerLost,
	ErrorKind.PeerUnreachable,
	ErrorKind.PeerChanged,
	ErrorKind.BackendUnreachable,
	ErrorKind.BackendFailed,
	ErrorKind.BackendShed,
]);

/** Statuses of a backend server's answer after which an idempotent call may be retried. */
const retriedStatuses: ReadonlySet<number> = new Set([502, 503, 504]);

/** Sends idempotent calls directly to an upstream, with retries that need a grant, and all others through their owner. */
export class GraphCallService implements CallService {
	constructor(
		@UpstreamService private readonly upstreams: UpstreamService,
		@OwnershipService private readonly ownership: OwnershipService,
		@RetryService private readonly retries: RetryService,
		@MetricsService private readonly metrics: MetricsService,
	) {}

	async call(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		this.retries.recordCall();
		return request.idempotent ? this.callIdempotent(request, signal) : this.ownership.run(request, signal);
	}

	private async callIdempotent(request: CallRequest, signal: AbortSignal): Promise<CallAnswer> {
		const triedNodeIds = new Set<string>();
		for (;;) {
			const outcome = await this.attempt(request, triedNodeIds, signal);
			const mayRetry = outcome instanceof KumquatlineError ? retriedKinds.has(outcome.kind) : retriedStatuses.has(outcome.status);
			const isGranted = mayRetry && await this.retries.grant(request.context, signal);
			if (mayRetry) {
				this.recordRetry(request, isGranted);
			}

			if (!isGranted) {
				return unwrap(outcome);
			}
		}
	}

	private recordRetry({context, operation}: CallRequest, isGranted: boolean): void {
		this.metrics.count('retries', {caller: context.caller, operation, outcome: isGranted ? 'granted' : 'denied'});
	}

	/** Prefers upstreams that were not tried yet, and falls back to any upstream. */
	private async attempt(request: CallRequest, triedNodeIds: Set<string>, signal: AbortSignal): Promise<CallAnswer | KumquatlineError> {
		try {
			return await this.execute(request, triedNodeIds, signal);
		} catch (error) {
			if (!(error instanceof KumquatlineError)) {
				return new KumquatlineError(ErrorKind.Internal, 'unexpected error during a call', {cause: error});
			}

			if (error.kind !== ErrorKind.NoUpstream || triedNodeIds.size === 0) {
				return error;
			}

			triedNodeIds.clear();
			return this.attempt(request, triedNodeIds, signal);
		}
	}

	private async execute(request: CallRequest, triedNodeIds: Set<string>, signal: AbortSignal): Promise<CallAnswer> {
		const exclude = new Set(triedNodeIds);
		const onWillSend = (nodeId: string): void => {
			triedNodeIds.add(nodeId);
		};

		return this.upstreams.execute(request, {callId: createUuid(), exclude, onWillSend}, signal);
	}
}

function unwrap(outcome: CallAnswer | KumquatlineError): CallAnswer {
	if (outcome instanceof KumquatlineError) {
		throw outcome;
	}

	return outcome;
}
