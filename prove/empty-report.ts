import {type ProofReport} from './proof-report.js';

/** Report on no runs, to which other reports are added. */
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
