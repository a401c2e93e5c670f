import {setTimeout as delay} from 'node:timers/promises';
import {type ProcessGraph} from '../../standins/graph/process-graph.js';
import {FaultKind} from './fault-kind.js';

type Fault = {
	readonly kind: FaultKind;
	readonly nodeId: string;
	readonly durationMs: number;
};

/** Injects a fault for the given duration, then undoes it where it can be undone. */
export async function injectFault(graph: ProcessGraph, {kind, nodeId, durationMs}: Fault): Promise<void> {
	const {plan} = graph.node(nodeId);
	switch (kind) {
		case FaultKind.KillVm: {
			await graph.node(nodeId).kill();
			await delay(durationMs);
			await graph.startNode(plan);
			break;
		}

		case FaultKind.KillBackendServer: {
			await graph.node(nodeId).killBackend();
			await delay(durationMs);
			await graph.node(nodeId).startBackend();
			break;
		}

		case FaultKind.FreezeNode: {
			graph.node(nodeId).freeze();
			await delay(durationMs);
			graph.node(nodeId).resume();
			break;
		}

		case FaultKind.ReplaceVm: {
			await graph.node(nodeId).node.terminate();
			await graph.node(nodeId).terminateBackend();
			await graph.startNode(plan);
			break;
		}

		case FaultKind.StoreOutage: {
			await withStoreFaults(graph, {outage: true}, {outage: false}, durationMs);
			break;
		}

		case FaultKind.LostStoreAnswers: {
			await withStoreFaults(graph, {loseAnswers: 0.5}, {loseAnswers: 0}, durationMs);
			break;
		}

		case FaultKind.SilentStoreConnections: {
			await graph.setStoreFaults({silent: true});
			await delay(durationMs);
			break;
		}

		case FaultKind.SlowBackendServer: {
			await withBackendFaults(graph, nodeId, {slowFactor: 100}, durationMs);
			break;
		}

		case FaultKind.CutAnswers: {
			await withBackendFaults(graph, nodeId, {partialAnswer: 0.5}, durationMs);
			break;
		}

		case FaultKind.AnnouncedLeaving: {
			await graph.drainBackend(nodeId);
			await delay(durationMs);
			break;
		}

		case FaultKind.ShedAfterBegin: {
			await withBackendFaults(graph, nodeId, {shedShare: 0.5, shedAfterBegin: true}, durationMs);
			break;
		}
	}
}

type Faults = Readonly<Record<string, unknown>>;

async function withStoreFaults(graph: ProcessGraph, faults: Faults, noFaults: Faults, durationMs: number): Promise<void> {
	await graph.setStoreFaults(faults);
	await delay(durationMs);
	await graph.setStoreFaults(noFaults);
}

async function withBackendFaults(graph: ProcessGraph, nodeId: string, faults: Faults, durationMs: number): Promise<void> {
	await graph.setBackendFaults(nodeId, faults);
	await delay(durationMs);
	await graph.setBackendFaults(nodeId, {});
}
