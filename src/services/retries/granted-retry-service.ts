import {type CallContext} from '../calls/call-context.js';
import {PolicyService} from '../policy/policy-service.js';
import {type RetryService} from './retry-service.js';

/** Retries under a fixed total for each root id. */
export class GrantedRetryService implements RetryService {
	private freshCalls = 0;

	constructor(@PolicyService private readonly policy: PolicyService) {}

	noteFresh(): void {
		this.freshCalls++;
	}

	async grant(_context: CallContext, _signal: AbortSignal): Promise<boolean> {
		return this.policy.current.retryShare > this.freshCalls;
	}

	async admitAttempt(_context: CallContext, _signal: AbortSignal): Promise<boolean> {
		return true;
	}
}
