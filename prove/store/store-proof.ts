import {KvStoreService} from '../../src/platform/store/kv-store-service.js';
import {UnboundedStoreService} from '../naive/unbounded-store-service.js';
import {type Proof} from '../proof.js';
import {type ProofReport} from '../proof-report.js';
import {ProofVariant} from '../proof-variant.js';
import {StoreRun} from './store-run.js';
import {storeSchedule} from './store-schedule.js';

/** Calls end within a bounded time in spite of silent store connections, nothing is written twice, and watches catch up. */
export const storeProof: Proof = {
	name: 'silent-store-connections',
	separateProcesses: false,

	async run(seed: number, variant: ProofVariant): Promise<ProofReport> {
		const run = new StoreRun(seed, variant === ProofVariant.Real ? KvStoreService : UnboundedStoreService);
		const violations = await run.run(storeSchedule(seed));
		return {
			schedules: 1,
			faultsByKind: run.faultsByKind,
			ids: run.calls.length,
			executions: run.calls.filter(({answered}) => answered).length,
			refusalsByKind: {},
			unknowns: run.calls.filter(({answered}) => !answered).length,
			unexplainedUnknowns: 0,
			violations,
		};
	},
};
