import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type SettingsService} from '../../runtime/settings/settings-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {type PolicyService} from '../policy/policy-service.js';
import {type HeldShard} from './held-shard.js';
import {mintedAtMs} from './minted-at-ms.js';

/** Decides whether an attempt may execute a request that has not been executed yet, by its times and by the authority of this node. */
export class AttemptRules {
	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
	) {}

	/** Why an attempt may not execute a request that has not been executed before; undefined if it may. */
	refusalReason({context, requestId}: CallRequest, refusedAtMs: number | undefined): KumquatlineError | undefined {
		const nowMs = Date.now();
		const {clockSkewBoundMs} = this.settings.settings;
		if (refusedAtMs !== undefined && context.enteredAtMs <= refusedAtMs + clockSkewBoundMs) {
			return new KumquatlineError(ErrorKind.StaleAttempt, 'the attempt is older than a refusal of its request id', {retryAfterMs: 2 * clockSkewBoundMs});
		}

		if ((mintedAtMs(requestId) ?? 0) > nowMs + clockSkewBoundMs) {
			return new KumquatlineError(ErrorKind.KeyExpired, 'the timestamp of the request id is in the future');
		}

		if (nowMs >= context.deadlineAtMs) {
			return new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the owner of the request id could start the call');
		}

		return undefined;
	}

	/** Whether a time-ordered id is so old that the idempotency table may have evicted it. */
	isExpired(requestId: string): boolean {
		const minted = mintedAtMs(requestId);
		return minted !== undefined && minted < Date.now() - this.policy.current.retryHorizonMs;
	}

	/** Throws if this node is not authoritative or the deadline has passed; has to be called in the same tick as sending. */
	assertMaySend(shard: HeldShard, request: CallRequest): void {
		if (!shard.isAuthoritative()) {
			throw new KumquatlineError(ErrorKind.NotOwner, 'the node lost its authority over the request id before the call was sent', {started: false});
		}

		if (Date.now() >= request.context.deadlineAtMs) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the call was sent', {started: false});
		}
	}
}
