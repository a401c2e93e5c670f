import test from 'ava';
import {RequestOutcome} from '../../../standins/caller/request-outcome.js';
import {measureRecovery} from '../measure-recovery.js';

const fromMs = 10_000;

/** Ten requests in each half second; the counts say how many of them get a complete answer. */
function makeRequests(completeCounts: readonly number[]) {
	return completeCounts.flatMap((completeCount, interval) => Array.from({length: 10}, (_value, index) => ({
		requestId: '',
		operation: 'stock',
		sentAtMs: fromMs + (interval * 500) + (index * 50),
		endedAtMs: 0,
		attempts: 1,
		outcome: index < completeCount ? RequestOutcome.Complete : RequestOutcome.Refused,
	})));
}

function recoveryMs(completeCounts: readonly number[]): number | undefined {
	return measureRecovery(makeRequests(completeCounts), fromMs, fromMs + (completeCounts.length * 500)).recoveryMs;
}

test('goodput has recovered once no later interval is below 95%', t => {
	t.is(recoveryMs([10, 10, 10]), 0);
	t.is(recoveryMs([2, 9, 10, 10]), 1000);
	t.is(recoveryMs([2, 10, 9, 10]), 1500);
	t.is(recoveryMs([2, 10, 10, 9]), undefined);
});
