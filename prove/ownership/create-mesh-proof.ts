import {install} from '@sinonjs/fake-timers';
import {Mesh, type MeshOptions} from '../../src/services/ownership/test/mesh/mesh.js';
import {EventKind} from '../history/event-kind.js';
import {History} from '../history/history.js';
import {type HistoryEvent} from '../history/history-event.js';
import {reportHistory} from '../process/report-history.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {makeSchedule} from './make-schedule.js';
import {MeshAction} from './mesh-action.js';
import {MeshRun, type MeshCall} from './mesh-run.js';

const nodes = 4;
const ids = 40;
const sends = 160;
const faults = 8;
const lengthMs = 30_000;
const startMs = 5000;
const finalTimeoutMs = 5000;
/** Time without new faults before a final attempt of every id. */
const settleMs = 10_000;
const afterMs = 20_000;
/** In every group of this many consecutive seeds, one schedule has no faults and one has only planned stops; no outcome may be unknown in either. */
const seedsPerMix = 10;
const plannedStopSeed = 5;
const clockStartMs = 1_800_000_000_000;

/** What differs between the proofs on a mesh. */
type MeshProofPlan = {
	readonly name: string;
	/** Services that replace the mechanism in the naive variant. */
	readonly naive: MeshOptions;
	/** Fraction of executions that fail throughout the run. */
	readonly failureRate: number;
	readonly call: MeshCall;
	readonly findViolations: (events: readonly HistoryEvent[]) => readonly string[];
};

/** Creates a proof that runs seeded schedules of retried ids and faults on four nodes in one process, with a simulated clock. */
export function createMeshProof(plan: MeshProofPlan): Proof {
	return {
		name: plan.name,
		separateProcesses: false,

		async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
			const clock = install({now: clockStartMs, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
			try {
				const mesh = new Mesh(seed, variant === ProofVariant.Naive ? plan.naive : {});
				mesh.parts.backends.failureRate = plan.failureRate;
				const history = new History();
				const work = runSchedule(mesh, history, seed, plan.call);
				await clock.tickAsync(startMs + lengthMs + afterMs);
				await work;
				mesh.dispose();
				return report(history.events, mesh, plan);
			} finally {
				clock.uninstall();
			}
		},
	};
}

async function runSchedule(mesh: Mesh, history: History, seed: number, call: MeshCall): Promise<void> {
	await mesh.start(nodes);
	await mesh.parts.conditions.pause(startMs - performance.now());
	const run = new MeshRun(mesh, history, call);
	const schedule = makeSchedule(seed, {
		nodes,
		ids,
		sends,
		faults: seed % seedsPerMix === 0 ? 0 : faults,
		lengthMs,
		onlyFault: seed % seedsPerMix === plannedStopSeed ? MeshAction.Leave : undefined,
	});
	let atMs = 0;
	for (const step of schedule) {
		await mesh.parts.conditions.pause(step.atMs - atMs);
		atMs = step.atMs;
		void run.runStep(step);
	}

	await mesh.parts.conditions.pause(lengthMs - atMs + settleMs);
	for (let id = 0; id < ids; id++) {
		void run.send(id % nodes, id, finalTimeoutMs);
	}
}

function report(recorded: readonly HistoryEvent[], mesh: Mesh, plan: MeshProofPlan): ProofReport {
	const startEvents = mesh.parts.backends.executions.map(({requestId, rootId: traceId, attemptId, atMs}): HistoryEvent => ({
		kind: EventKind.ExecutionStarted, requestId, traceId, attemptId, atMs,
	}));
	const events = [...recorded, ...startEvents].sort((one, other) => one.atMs - other.atMs);
	const figures = reportHistory(events, plan.findViolations(events));
	const hasOnlyPlannedStops = plan.failureRate === 0 && Object.keys(figures.faultsByKind).every(fault => fault === String(MeshAction.Leave));
	return hasOnlyPlannedStops ? {...figures, unexplainedUnknowns: figures.unknowns} : figures;
}
