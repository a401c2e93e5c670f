import test from 'ava';
import {LearnedCallGraphService} from '../learned-call-graph-service.js';
import {RunningRequestSet} from '../running-request-set.js';

test('calls are learned, also from incomplete executions, and dropped when they are no longer made', t => {
	const graph = new LearnedCallGraphService();
	graph.recordCalls('r', {stock: 4}, false);
	t.is(graph.callsOf('r').get('stock'), 4);
	for (let index = 0; index < 50; index++) {
		graph.recordCalls('r', {stock: 1}, false);
	}

	t.is(graph.callsOf('r').get('stock'), 4);
	for (let index = 0; index < 60; index++) {
		graph.recordCalls('r', {}, true);
	}

	t.is(graph.callsOf('r').size, 0);
});

test('recent thresholds that replies report for other services are applied', t => {
	const graph = new LearnedCallGraphService();
	graph.recordThreshold('desk', 0.5, [{service: 'stock', threshold: 2, ageMs: 10}]);
	t.is(graph.thresholdOf('desk'), 0.5);
	t.is(graph.thresholdOf('stock'), 2);
	t.is(graph.thresholdOf('other'), 0);
});

test('calls are counted for their parent request, nested ones from the replies', t => {
	const running = new RunningRequestSet();
	running.start('a', 2);
	t.is(running.parentPriority('a.1'), 2);
	t.is(running.parentPriority('a.1.2'), undefined);
	t.is(running.parentPriority('b'), undefined);
	running.countCalls('a.1', {desk: 1});
	running.countCalls('a.1', {stock: 4});
	running.countCalls('a.2', {desk: 1});
	running.countCalls('b.1', {desk: 1});
	t.deepEqual(running.end('a'), {desk: 2, stock: 4});
	t.is(running.parentPriority('a.1'), undefined);
});
