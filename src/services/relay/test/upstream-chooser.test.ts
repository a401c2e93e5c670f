import {install} from '@sinonjs/fake-timers';
import test from 'ava';
import {createRandom} from '../../../base/create-random.js';
import {type Member} from '../../membership/member.js';
import {type MembershipService} from '../../membership/membership-service.js';
import {UpstreamChooser} from '../upstream-chooser.js';

function member(nodeId: string, availabilityZone: string): Member {
	const known: Partial<Member> = {nodeId, availabilityZone, slots: 10};
	return known as Member;
}

function makeChooser(members: readonly Member[]): UpstreamChooser {
	return new UpstreamChooser({upstreams: () => members} as unknown as MembershipService, 'zone-a', createRandom(7, 'test'));
}

/** Number of choices by upstream; each choice ends with the given outcome before the next one. */
function countChoices(chooser: UpstreamChooser, count: number, outcomeOf: (nodeId: string) => {elapsedMs: number; succeeded: boolean}): Record<string, number> {
	const counts: Record<string, number> = {};
	for (let index = 0; index < count; index++) {
		const chosen = chooser.choose('s', () => true)!;
		counts[chosen.nodeId] = (counts[chosen.nodeId] ?? 0) + 1;
		chooser.recordOutcome(chosen, outcomeOf(chosen.nodeId));
	}

	return counts;
}

test('upstreams of the own zone are chosen while they have capacity, then those of other zones', t => {
	const near = member('near', 'zone-a');
	const chooser = makeChooser([near, member('far', 'zone-b')]);
	t.deepEqual(countChoices(chooser, 50, () => ({elapsedMs: 20, succeeded: true})), {near: 50});
	const chosen = new Set<string>();
	for (let index = 0; index < 20; index++) {
		chosen.add(chooser.choose('s', () => true)!.nodeId);
	}

	t.deepEqual(chosen, new Set(['near', 'far']));
});

test('an upstream that mostly fails is skipped in favour of another zone, and tried again later', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const chooser = makeChooser([member('near', 'zone-a'), member('far', 'zone-b')]);
	const outcome = (nodeId: string) => ({elapsedMs: 20, succeeded: nodeId !== 'near'});
	const counts = countChoices(chooser, 100, outcome);
	t.true(counts.near < 10);
	clock.tick(10_000);
	t.true(countChoices(chooser, 10, outcome).near > 0);
});

test('if all upstreams fail, all are tried', t => {
	const chooser = makeChooser([member('one', 'zone-a'), member('two', 'zone-a')]);
	const counts = countChoices(chooser, 40, () => ({elapsedMs: 20, succeeded: false}));
	t.is(Object.keys(counts).length, 2);
});

test('a faster upstream gets more requests', t => {
	const chooser = makeChooser([member('quick', 'zone-a'), member('slow', 'zone-a')]);
	const counts = countChoices(chooser, 200, nodeId => ({elapsedMs: nodeId === 'quick' ? 20 : 100, succeeded: true}));
	t.true(counts.quick > (counts.slow ?? 0));
});

test('a new upstream gets requests at once, and one that was slow is tried again', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const members = [member('old', 'zone-a')];
	const chooser = makeChooser(members);
	countChoices(chooser, 20, () => ({elapsedMs: 30, succeeded: true}));
	members.push(member('new', 'zone-a'));
	t.true((countChoices(chooser, 10, () => ({elapsedMs: 60, succeeded: true})).new ?? 0) > 0);
	let isTriedAgain = false;
	for (let second = 0; second < 10; second++) {
		clock.tick(1000);
		const counts = countChoices(chooser, 5, nodeId => ({elapsedMs: nodeId === 'new' && second < 5 ? 60 : 30, succeeded: true}));
		isTriedAgain ||= (counts.new ?? 0) > 0;
	}

	t.true(isTriedAgain);
});

test('when all upstreams are equally full, most requests stay in the own zone', t => {
	const chooser = makeChooser([member('near', 'zone-a'), member('far', 'zone-b'), member('farther', 'zone-c')]);
	const counts: Record<string, number> = {};
	for (let index = 0; index < 60; index++) {
		const chosen = chooser.choose('s', () => true)!;
		counts[chosen.nodeId] = (counts[chosen.nodeId] ?? 0) + 1;
	}

	t.true(counts.near > counts.far && counts.near > counts.farther);
	t.true(counts.far > 10 && counts.farther > 10);
});

test('requests move to other zones while an upstream refuses work despite free slots, and return when it admits all', t => {
	const clock = install();
	t.teardown(() => {
		clock.uninstall();
	});
	const near = member('near', 'zone-a');
	const far = member('far', 'zone-b');
	const chooser = makeChooser([near, far]);
	const count = (threshold: number) => {
		const counts = {near: 0, far: 0};
		for (let index = 0; index < 100; index++) {
			clock.tick(10);
			const chosen = chooser.choose('s', () => true)!;
			counts[chosen.nodeId as 'near' | 'far']++;
			chooser.recordOutcome(chosen, {
				elapsedMs: 20, succeeded: true, load: {
					inFlight: 1, limit: 10, queued: 0, queueWaitMs: 0, threshold: chosen === near ? threshold : 0,
				},
			});
		}

		return counts;
	};

	t.deepEqual(count(0), {near: 100, far: 0});
	t.true(count(0.8).far > 80);
	clock.tick(3000);
	t.true(count(0).near > 80);
});
