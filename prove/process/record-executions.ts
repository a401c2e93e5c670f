import {type ProcessGraph} from '../../standins/graph/process-graph.js';
import {EventKind} from '../history/event-kind.js';
import {type History} from '../history/history.js';

/** Records the start and the end of every execution at the backend servers of a graph. */
export function recordExecutions(graph: ProcessGraph, history: History): void {
	graph.onDidRecord(({nodeId, record}) => {
		const {requestId, traceId, method, startedAtMs, endedAtMs} = record;
		history.add([{
			kind: endedAtMs === undefined ? EventKind.ExecutionStarted : EventKind.ExecutionEnded,
			atMs: endedAtMs ?? startedAtMs,
			requestId,
			traceId,
			nodeId,
			service: graph.node(nodeId).plan.service,
			idempotent: method === 'GET',
		}]);
	});
}
