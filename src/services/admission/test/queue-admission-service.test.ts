import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {Importance} from '../../policy/importance.js';
import {AnnouncedLimitService} from '../announced-limit-service.js';
import {AdmitAllThresholdService} from '../admit-all-threshold-service.js';
import {QueueAdmissionService} from '../queue-admission-service.js';
import {makeContext} from './make-context.js';
import {NoopMetricsService} from './noop-metrics-service.js';

function makeAdmission(slots: number): QueueAdmissionService {
	const admission = new QueueAdmissionService(new NoopMetricsService(), new AdmitAllThresholdService(), new AnnouncedLimitService());
	admission.setAnnouncedCapacity(slots, 100);
	return admission;
}

const {signal} = new AbortController();

test('calls are queued while the limit is reached and then executed in order of importance, depth and deadline', async t => {
	const admission = makeAdmission(1);
	const first = new Deferred<void>();
	const order: string[] = [];
	const running = [admission.run(makeContext(), async () => first.promise, signal)];
	const deadlineAtMs = Date.now() + 10_000;
	for (const [name, changes] of Object.entries({
		browsing: {importance: Importance.Sheddable},
		late: {deadlineAtMs: deadlineAtMs + 1},
		early: {deadlineAtMs},
		deep: {depth: 3},
		charge: {importance: Importance.Critical},
	})) {
		running.push(admission.run(makeContext(changes), async () => {
			order.push(name);
		}, signal));
	}

	t.is(admission.load.queued, 5);
	first.resolve();
	await Promise.all(running);
	t.deepEqual(order, ['charge', 'deep', 'early', 'late', 'browsing']);
	await admission.whenIdle();
});

test('a call that has expired in the queue is not started', async t => {
	const admission = makeAdmission(0);
	const waiting = admission.run(makeContext({deadlineAtMs: Date.now() - 1}), async () => t.fail(), signal);
	admission.setAnnouncedCapacity(1, 1);
	const error = await t.throwsAsync<KumquatlineError>(waiting);
	t.is(error?.kind, ErrorKind.DeadlineExceeded);
	t.false(error?.started);
});

test('the queued call of a caller that disconnects is removed', async t => {
	const admission = makeAdmission(0);
	const leaving = new AbortController();
	const waiting = admission.run(makeContext(), async () => t.fail(), leaving.signal);
	leaving.abort();
	const error = await t.throwsAsync<KumquatlineError>(waiting);
	t.is(error?.kind, ErrorKind.CallerGone);
	t.is(admission.load.queued, 0);
});

test('a full queue drops the least important call', async t => {
	const admission = makeAdmission(0);
	const browsing = admission.run(makeContext({importance: Importance.Sheddable}), async () => t.fail(), signal);
	const charges = Array.from({length: 512}, async () => admission.run(makeContext({importance: Importance.Critical}), async () => 'charged', signal));
	const error = await t.throwsAsync<KumquatlineError>(browsing);
	t.is(error?.kind, ErrorKind.Overloaded);
	t.false(error?.started);
	admission.setAnnouncedCapacity(8, 8);
	const answers = await Promise.all(charges);
	t.true(answers.every(answer => answer === 'charged'));
});
