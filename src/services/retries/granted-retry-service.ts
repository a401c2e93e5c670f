import {type Disposable} from '../../base/disposable.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {type CallContext} from '../calls/call-context.js';
import {MembershipService} from '../membership/membership-service.js';
import {findIncarnation} from '../ownership/find-incarnation.js';
import {OwnershipService} from '../ownership/ownership-service.js';
import {PolicyService} from '../policy/policy-service.js';
import {grantMethod} from './grant-method.js';
import {type RetryService} from './retry-service.js';
import {RetryTokenBucket} from './retry-token-bucket.js';

const maxWaitMs = 1000;

/**
Limits retries to a fixed total for each root id, counted by the id's owner, and to this node's retry budget, a fraction of its calls.
If the owner can't be asked or can't decide, no retry is granted.
*/
export class GrantedRetryService implements RetryService, Disposable {
	private readonly budget = new RetryTokenBucket();
	private readonly handler: Disposable;

	constructor(
		@PolicyService private readonly policy: PolicyService,
		@OwnershipService private readonly ownership: OwnershipService,
		@MembershipService private readonly membership: MembershipService,
		@PeerService private readonly peers: PeerService,
	) {
		this.handler = peers.handle(grantMethod, async ({context, isAttempt}) => ({isGranted: ownership.drawRetry(context, isAttempt)}));
	}

	recordCall(): void {
		this.budget.earn(this.policy.current.retryShare);
	}

	async grant(context: CallContext, signal: AbortSignal): Promise<boolean> {
		if (!this.budget.take()) {
			return false;
		}

		const isGranted = await this.requestGrant(context, false, signal);
		if (!isGranted) {
			this.budget.giveBack();
		}

		return isGranted;
	}

	async admitAttempt(context: CallContext, signal: AbortSignal): Promise<boolean> {
		return this.requestGrant(context, true, signal);
	}

	dispose(): void {
		this.handler.dispose();
	}

	private async requestGrant(context: CallContext, isAttempt: boolean, signal: AbortSignal): Promise<boolean> {
		const owner = await this.ownerOf(context);
		const timeoutMs = Math.min(maxWaitMs, context.deadlineAtMs - Date.now());
		if (!owner || timeoutMs <= 0) {
			return false;
		}

		try {
			const {isGranted} = await this.peers.call(owner, grantMethod, {context, isAttempt}, {timeoutMs, signal});
			return isGranted;
		} catch (error) {
			if (error instanceof KumquatlineError) {
				return false;
			}

			throw error;
		}
	}

	private async ownerOf({rootId, rootService, rootOwner}: CallContext): Promise<PeerAddress | undefined> {
		if (rootOwner) {
			return findIncarnation(this.membership, rootOwner);
		}

		return rootService === undefined ? undefined : this.ownership.findOwner(rootService, rootId);
	}
}
