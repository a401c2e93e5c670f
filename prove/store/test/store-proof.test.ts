import test from 'ava';
import {KvStoreService} from '../../../src/platform/store/kv-store-service.js';
import {UnboundedStoreService} from '../../naive/unbounded-store-service.js';
import {StoreRun} from '../store-run.js';
import {type StoreStep} from '../store-step.js';
import {StoreStepKind} from '../store-step-kind.js';

const seed = 1;
const pauseMs = 20;

function stepsOf(...kinds: StoreStepKind[]): StoreStep[] {
	return kinds.map(kind => ({kind, pauseMs}));
}

const lostAnswers = stepsOf(
	StoreStepKind.LostAnswers,
	...Array.from({length: 8}, () => StoreStepKind.Swap),
);
const silence = stepsOf(
	StoreStepKind.Read,
	StoreStepKind.Swap,
	StoreStepKind.Silent,
	StoreStepKind.Read,
	StoreStepKind.Swap,
	StoreStepKind.OtherWrite,
);

const endlessCall = /^a (read|swap) had no end after 1200 ms$/v;
const silentWatch = /^the watch told \S+ last but the store has value-\d+$/v;

test('the check finds a wrong result of a swap that was sent again', async t => {
	const violations = await new StoreRun(seed, UnboundedStoreService).run(lostAnswers);
	t.true(violations.length > 0);
	for (const violation of violations) {
		t.regex(violation, /^value-\d+ was told not written but is in the store's history$/v);
	}

	t.deepEqual(await new StoreRun(seed, KvStoreService).run(lostAnswers), []);
});

test('the check finds endless calls and a silent watch', async t => {
	const found = await new StoreRun(seed, UnboundedStoreService).run(silence);
	// Which calls don't end and what the watch last reported depend on the speed of the machine.
	t.true(found.some(violation => endlessCall.test(violation)));
	t.true(found.some(violation => silentWatch.test(violation)));
	t.deepEqual(found.filter(violation => !endlessCall.test(violation) && !silentWatch.test(violation)), []);
	t.deepEqual(await new StoreRun(seed, KvStoreService).run(silence), []);
});
