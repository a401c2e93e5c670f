import {type ProofReport} from './proof-report.js';

/** The report of no run at all, to add others to. */
export const emptyReport: ProofReport = {
	schedules: 0,
	faultsByKind: {},
	ids: 0,
	executions: 0,
	refusalsByKind: {},
	unknowns: 0,
	unexplainedUnknowns: 0,
	violations: [],
};
