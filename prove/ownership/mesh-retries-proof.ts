import {ErrorKind} from '../../src/base/error-kind.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {CallService} from '../../src/services/calls/call-service.js';
import {RetryService} from '../../src/services/retries/retry-service.js';
import {findExcessExecutions} from '../history/find-excess-executions.js';
import {UnlimitedRetryService} from '../naive/unlimited-retry-service.js';
import {createMeshProof} from './create-mesh-proof.js';

/** Retry total of the mesh's caller. */
const retryTotal = 3;

/** A root id is executed at most 1 + `retryTotal` times, regardless of how often callers and nodes retry. */
export const meshRetriesProof = createMeshProof({
	name: 'retry-total-of-repeated-ids',
	naive: {retries: UnlimitedRetryService},
	failureRate: 0.5,
	async call(node, request) {
		const {signal} = new AbortController();
		if (!await node.get(RetryService).admitAttempt(request.context, signal)) {
			throw new KumquatlineError(ErrorKind.RetryDenied, 'the retry total is spent', {started: false});
		}

		return node.get(CallService).call({...request, idempotent: true}, signal);
	},
	findViolations: events => findExcessExecutions(events, retryTotal),
});
