import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {makeContext} from '../../admission/test/make-context.js';
import {MemberState} from '../../membership/member-state.js';
import {Importance} from '../../policy/importance.js';
import {
	makeLoad, makeMember, makeRouting, memberChangeEmitter,
} from './routing-fixture.js';

const noExclusions = new Set<string>();

function countChoices(routing: ReturnType<typeof makeRouting>, count: number): Record<string, number> {
	const counts: Record<string, number> = {};
	for (let index = 0; index < count; index++) {
		const member = routing.choose('returns', noExclusions);
		if (member) {
			counts[member.nodeId] = (counts[member.nodeId] ?? 0) + 1;
		}
	}

	return counts;
}

test('a request matches the operation that the policy declares', t => {
	const routing = makeRouting([]);
	t.is(routing.match('GET', '/panels/42?colour=grey')?.name, 'read-stock');
	t.is(routing.match('POST', '/panels/42'), undefined);
});

test('calls are distributed in proportion to the concurrency limits of the upstreams', t => {
	const routing = makeRouting([makeMember('small', 'a', 5), makeMember('large', 'a', 15)]);
	const counts = countChoices(routing, 20);
	t.true(counts.small >= 3 && counts.small <= 7);
});

test('other availability zones are used only when the own one is full', t => {
	const routing = makeRouting([makeMember('near', 'a', 4), makeMember('far', 'b', 4)]);
	t.deepEqual(countChoices(routing, 4), {near: 4});
	t.true(countChoices(routing, 2).far > 0);
});

test.serial('an outdated load does not keep an upstream from being chosen', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const [busy, other] = [makeMember('busy', 'a', 4), makeMember('other', 'a', 4)];
	const routing = makeRouting([busy, other]);
	routing.choose('returns', new Set(['other']));
	routing.recordReply(busy, makeLoad({inFlight: 4, queued: 100}));
	t.deepEqual(countChoices(routing, 8), {other: 8});
	clock.tick(3000);
	t.true(countChoices(routing, 8).busy > 0);
});

test('the record of a member is removed when the member is gone', t => {
	const member = makeMember('leaving', 'a', 4);
	const routing = makeRouting([member]);
	routing.choose('returns', noExclusions);
	routing.recordReply(member, makeLoad({}));
	t.is(routing.loads.size, 1);
	memberChangeEmitter.fire({...member, state: MemberState.Left});
	t.is(routing.loads.size, 0);
});

test('an upstream that is excluded is not chosen', t => {
	const routing = makeRouting([makeMember('near', 'a', 4)]);
	t.is(routing.choose('returns', new Set(['near'])), undefined);
});

test('a request that a service on its path would refuse is refused early, the same root ids at each hop', t => {
	const [near] = [makeMember('near', 'a', 4)];
	const routing = makeRouting([near]);
	const operation = routing.match('GET', '/panels/42')!;
	const browsing = makeContext({importance: Importance.Sheddable});
	routing.refuseEarly(operation, browsing);

	routing.recordReply(near, makeLoad({threshold: 1.5}));
	const error = t.throws<KumquatlineError>(() => {
		routing.refuseEarly(operation, browsing);
	});
	t.is(error?.kind, ErrorKind.Overloaded);
	t.false(error?.started);
	routing.refuseEarly(operation, makeContext({importance: Importance.Critical}));

	const other = makeRouting([near]);
	other.recordReply(near, makeLoad({threshold: 1.5}));
	const ids = Array.from({length: 200}, (_value, index) => `root-${index}`);
	const refusals = [routing, other].map(hop => ids.filter(rootId => {
		try {
			hop.refuseEarly(operation, makeContext({rootId}));
			return false;
		} catch {
			return true;
		}
	}));
	t.deepEqual(refusals[0], refusals[1]);
	t.true(refusals[0].length > 70 && refusals[0].length < 130);
});

test('a threshold that a reply carries for another service is applied and passed on', t => {
	const near = makeMember('near', 'a', 4);
	const routing = makeRouting([near]);
	routing.recordReply(near, makeLoad({heard: [{service: 'catalogue', threshold: 2, ageMs: 10}]}));
	t.throws(() => {
		routing.refuseEarly(routing.match('GET', '/panels/42')!, makeContext());
	});
	t.true(routing.heard.some(({service, threshold}) => service === 'catalogue' && threshold === 2));
});
