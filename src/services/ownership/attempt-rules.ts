import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type SettingsService} from '../../runtime/settings/settings-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {type PolicyService} from '../policy/policy-service.js';
import {type HeldShard} from './held-shard.js';
import {mintedAtMs} from './minted-at-ms.js';

/** When an attempt of an id that has not run may run it: rules of time and of right. */
export class AttemptRules {
	constructor(
		private readonly settings: SettingsService,
		private readonly policy: PolicyService,
	) {}

	/** Why an attempt may not run an id that did not run before; undefined when it may. */
	objection({context, requestId}: CallRequest, refusedAtMs: number | undefined): KumquatlineError | undefined {
		const nowMs = Date.now();
		const {clockSkewBoundMs} = this.settings.settings;
		if (refusedAtMs !== undefined && context.enteredAtMs <= refusedAtMs + clockSkewBoundMs) {
			return new KumquatlineError(ErrorKind.StaleAttempt, 'the attempt is older than a refusal of its id', {retryAfterMs: 2 * clockSkewBoundMs});
		}

		if ((mintedAtMs(requestId) ?? 0) > nowMs + clockSkewBoundMs) {
			return new KumquatlineError(ErrorKind.KeyExpired, 'the id is from the future');
		}

		if (nowMs >= context.deadlineAtMs) {
			return new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline had passed at the owner of the id');
		}

		return undefined;
	}

	/** Whether the table may have forgotten a time-ordered id because of its age. */
	isExpired(requestId: string): boolean {
		const minted = mintedAtMs(requestId);
		return minted !== undefined && minted < Date.now() - this.policy.current.retryHorizonMs;
	}

	/** Checks the right and the time in the tick in which the bytes leave; throws to stop them. */
	assertMaySend(shard: HeldShard, request: CallRequest): void {
		if (!shard.mayAct()) {
			throw new KumquatlineError(ErrorKind.NotOwner, 'the right to the id was lost before the call was sent', {started: false});
		}

		if (Date.now() >= request.context.deadlineAtMs) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the call was sent', {started: false});
		}
	}
}
