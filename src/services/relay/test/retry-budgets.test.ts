import test from 'ava';
import {NoopMetricsService} from '../../admission/test/noop-metrics-service.js';
import {type Member} from '../../membership/member.js';
import {MemberState} from '../../membership/member-state.js';
import {type RelaySettings} from '../../../runtime/settings/relay-settings.js';
import {type RelayRequest} from '../relay-request.js';
import {LearnedCallGraphService} from '../learned-call-graph-service.js';
import {RetryBudgets} from '../retry-budgets.js';

const retrySlack = 48;
const request: RelayRequest = {
	requestId: 'r', route: 'read', service: 'catalogue', method: 'GET', target: '/', headers: [], idempotent: true, priority: 1, isInner: false, hasWaited: false,
};

/** Number of retries that a node without requests of its own grants, given the states of all members. */
function granted(states: readonly MemberState[]): number {
	const members = states.map((state): Partial<Member> => ({state}));
	const relay: Partial<RelaySettings> = {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack};
	const budgets = new RetryBudgets({relay: relay as RelaySettings}, {members: members as Member[]}, new LearnedCallGraphService(), new NoopMetricsService());
	let count = 0;
	while (budgets.tryConsume(request)) {
		count++;
	}

	return count;
}

test('all nodes together grant no more than the slack, even if each considers the others dead', t => {
	const besideThree = (state: MemberState) => granted([MemberState.Serving, state, state, state]);
	for (const state of [MemberState.Serving, MemberState.Suspect, MemberState.Dead]) {
		t.true(besideThree(state) * 4 <= retrySlack, `others are ${state}`);
	}

	t.true(besideThree(MemberState.Left) > besideThree(MemberState.Dead));
});

test('the least urgent requests leave retries to more urgent ones that need them, and use the whole budget otherwise', t => {
	const relay: Partial<RelaySettings> = {retryRatio: 0.2, retryWindowMs: 10_000, retrySlack};
	const makeBudgets = () => new RetryBudgets({relay: relay as RelaySettings}, {members: []}, new LearnedCallGraphService(), new NoopMetricsService());
	const countGranted = (budgets: RetryBudgets, priority: number) => {
		let count = 0;
		while (budgets.tryConsume({...request, priority})) {
			count++;
		}

		return count;
	};

	const all = countGranted(makeBudgets(), 2);
	t.true(all > 20);
	const budgets = makeBudgets();
	t.true(budgets.tryConsume({...request, priority: 0}));
	t.true(countGranted(budgets, 2) < all / 3);
	t.true(countGranted(budgets, 0) > all / 2);
});
