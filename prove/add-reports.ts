import {type ProofReport} from './proof-report.js';

type Counts = Readonly<Record<string, number>>;

/** Sums the counts and joins the violations of two reports. */
export function addReports(left: ProofReport, right: ProofReport): ProofReport {
	return {
		schedules: left.schedules + right.schedules,
		faultsByKind: addCounts(left.faultsByKind, right.faultsByKind),
		ids: left.ids + right.ids,
		executions: left.executions + right.executions,
		refusalsByKind: addCounts(left.refusalsByKind, right.refusalsByKind),
		unknowns: left.unknowns + right.unknowns,
		unexplainedUnknowns: left.unexplainedUnknowns + right.unexplainedUnknowns,
		...(left.outcomes ?? right.outcomes) && {outcomes: addCounts(left.outcomes ?? {}, right.outcomes ?? {})},
		violations: [...left.violations, ...right.violations],
	};
}

function addCounts(left: Counts, right: Counts): Counts {
	const sum: Record<string, number> = {...left};
	for (const [name, count] of Object.entries(right)) {
		sum[name] = (sum[name] ?? 0) + count;
	}

	return sum;
}
