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
const lastPatienceMs = 5000;
/** Time after the last fault before every id is sent once more. */
const calmMs = 10_000;
const afterMs = 20_000;
/** Of so many seeds one has no faults and one only planned stops: no outcome may be unknown in either. */
const seedsPerMix = 10;
const plannedSeed = 5;
const clockStartMs = 1_800_000_000_000;

/** What tells one proof on a mesh from another. */
type MeshProofPlan = {
	readonly name: string;
	/** Parts that replace the mechanism in the naive variant. */
	readonly naive: MeshOptions;
	/** Share of executions that fail all the time. */
	readonly failedShare: number;
	readonly call: MeshCall;
	readonly findViolations: (events: readonly HistoryEvent[]) => readonly string[];
};

/** Makes a proof of seeded schedules of repeated ids and faults on the services of four nodes in one process, under a paused clock. */
export function createMeshProof(plan: MeshProofPlan): Proof {
	return {
		name: plan.name,
		separateProcesses: false,

		async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
			const clock = install({now: clockStartMs, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
			try {
				const mesh = new Mesh(seed, variant === ProofVariant.Naive ? plan.naive : {});
				mesh.parts.backends.failureRate = plan.failedShare;
				const history = new History();
				const work = carryOut(mesh, history, seed, plan.call);
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

async function carryOut(mesh: Mesh, history: History, seed: number, call: MeshCall): Promise<void> {
	await mesh.start(nodes);
	await mesh.parts.conditions.pause(startMs - performance.now());
	const run = new MeshRun(mesh, history, call);
	const schedule = makeSchedule(seed, {
		nodes,
		ids,
		sends,
		faults: seed % seedsPerMix === 0 ? 0 : faults,
		lengthMs,
		onlyFault: seed % seedsPerMix === plannedSeed ? MeshAction.Leave : undefined,
	});
	let atMs = 0;
	for (const step of schedule) {
		await mesh.parts.conditions.pause(step.atMs - atMs);
		atMs = step.atMs;
		void run.carryOut(step);
	}

	await mesh.parts.conditions.pause(lengthMs - atMs + calmMs);
	for (let id = 0; id < ids; id++) {
		void run.send(id % nodes, id, lastPatienceMs);
	}
}

function report(recorded: readonly HistoryEvent[], mesh: Mesh, plan: MeshProofPlan): ProofReport {
	const begun = mesh.parts.backends.executions.map(({requestId, rootId: traceId, attemptId, atMs}): HistoryEvent => ({
		kind: EventKind.Began, requestId, traceId, attemptId, atMs,
	}));
	const events = [...recorded, ...begun].sort((one, other) => one.atMs - other.atMs);
	const figures = reportHistory(events, plan.findViolations(events));
	const isPlanned = plan.failedShare === 0 && Object.keys(figures.faultsByKind).every(fault => fault === String(MeshAction.Leave));
	return isPlanned ? {...figures, unexplainedUnknowns: figures.unknowns} : figures;
}
