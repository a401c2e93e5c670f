import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {Execution} from '../../../base/execution.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {type MetricsService} from '../../../runtime/metrics/metrics-service.js';
import {type PeerService} from '../../../runtime/peer/peer-service.js';
import {MemberState} from '../../membership/member-state.js';
import {type Member} from '../../membership/member.js';
import {type OwnershipService} from '../../ownership/ownership-service.js';
import {Importance} from '../../policy/importance.js';
import {type RetryService} from '../../retries/retry-service.js';
import {type RoutingService} from '../../routing/routing-service.js';
import {type CallAnswer} from '../call-answer.js';
import {type CallRequest} from '../call-request.js';
import {type ExecutionReply} from '../execution-reply.js';
import {GraphCallService} from '../graph-call-service.js';
import {RoutedUpstreamService} from '../routed-upstream-service.js';

const answer: CallAnswer = {status: 200, headers: {}, body: new Uint8Array()};
const load = {
	inFlight: 0, limit: 1, queued: 0, queueWaitMs: 0, threshold: 0,
};
const notStarted = (kind: ErrorKind) => new KumquatlineError(kind, kind, {started: false});
const {signal} = new AbortController();

function callRequest(idempotent = true): CallRequest {
	const now = Date.now();
	return {
		context: {
			rootId: 'root', caller: 'foreman', importance: Importance.Normal, depth: 1, enteredAtMs: now, deadlineAtMs: now + 60_000,
		},
		requestId: 'root',
		service: 'catalogue',
		operation: 'read-stock',
		idempotent,
		method: 'GET',
		target: '/panels/1',
		headers: {},
		body: new Uint8Array(),
	};
}

function member(nodeId: string): Member {
	return {
		nodeId,
		incarnation: nodeId,
		address: '127.0.0.1',
		peerPort: 1,
		gossipPort: 1,
		callerPort: 1,
		availabilityZone: 'north',
		region: 'default',
		state: MemberState.Serving,
		slots: 1,
		connections: 1,
		policyVersion: 1,
		revision: 1,
	};
}

/** Upstreams a, b and c, which reply with the entries of `script` in order. */
function upstreams(script: Array<ExecutionReply | KumquatlineError>) {
	const asked: string[] = [];
	const routing = {
		choose: (_service: string, exclude: ReadonlySet<string>) => ['a', 'b', 'c'].filter(nodeId => !exclude.has(nodeId)).map(nodeId => member(nodeId)).at(0),
		recordReply() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	} as unknown as RoutingService;
	const peers = {
		async call(peer: Member) {
			asked.push(peer.nodeId);
			const next = script.shift();
			if (next instanceof KumquatlineError) {
				throw next;
			}

			return next;
		},
	} as unknown as PeerService;
	return {asked, service: new RoutedUpstreamService(routing, peers)};
}

function calls(script: Array<ExecutionReply | KumquatlineError>, grants: number) {
	const {asked, service} = upstreams(script);
	let left = grants;
	const retries = {recordCall() {}, grant: async () => left-- > 0} as unknown as RetryService; // eslint-disable-line @typescript-eslint/no-empty-function
	const metrics = {count() {}} as unknown as MetricsService; // eslint-disable-line @typescript-eslint/no-empty-function
	const ownership = {run: async () => answer} as unknown as OwnershipService;
	return {asked, service: new GraphCallService(service, ownership, retries, metrics)};
}

test('an upstream that certainly did not start the call is skipped without a grant', async t => {
	const {asked, service} = calls([notStarted(ErrorKind.PeerUnreachable), {failure: {kind: ErrorKind.Draining, message: '', started: false}, load}, {answer, load}], 0);
	t.is(await service.call(callRequest(), signal), answer);
	t.deepEqual(asked, ['a', 'b', 'c']);
});

test('a call that is refused under overload is not sent to another upstream', async t => {
	const {asked, service} = calls([{failure: {kind: ErrorKind.Overloaded, message: '', started: false}, load}], 5);
	const error = await t.throwsAsync<KumquatlineError>(service.call(callRequest(), signal));
	t.is(error.kind, ErrorKind.Overloaded);
	t.is(error.execution, Execution.NotRun);
	t.deepEqual(asked, ['a']);
});

test('a call to a lost peer is retried as often as grants allow', async t => {
	const lost = new KumquatlineError(ErrorKind.PeerLost, 'lost');
	const {asked, service} = calls([lost, lost, {answer, load}], 1);
	const error = await t.throwsAsync<KumquatlineError>(service.call(callRequest(), signal));
	t.is(error.execution, Execution.Unknown);
	t.deepEqual(asked, ['a', 'b']);
});

test('an answer with a failure status is returned unchanged if no retry is granted', async t => {
	const failed = {...answer, status: 502};
	const {service} = calls([{answer: failed, load}], 0);
	t.is(await service.call(callRequest(), signal), failed);
});

test('a retry falls back to an upstream tried before when there is no other', async t => {
	const lost = new KumquatlineError(ErrorKind.PeerLost, 'lost');
	const {asked, service} = calls([lost, lost, lost, {answer, load}], 3);
	t.is(await service.call(callRequest(), signal), answer);
	t.deepEqual(asked, ['a', 'b', 'c', 'a']);
});

test('a call that is not idempotent is sent only to its owner', async t => {
	const {asked, service} = calls([], 5);
	t.is(await service.call(callRequest(false), signal), answer);
	t.deepEqual(asked, []);
});
