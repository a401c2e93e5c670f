import {type ExecutionRecord} from '../../standins/backend-server/execution-record.js';
import {RequestOutcome} from '../../standins/caller/request-outcome.js';
import {type RequestRecord} from '../../standins/caller/request-record.js';
import {measureRecovery} from './measure-recovery.js';
import {type ClassFigures, type OverloadFigures} from './overload-figures.js';
import {type OverloadRun} from './overload-run.js';

const msPerSecond = 1000;
/** Utilisation of the machine's processors above which the machine itself may be the bottleneck. */
const saturatedUtilisation = 0.85;

/** Computes the figures of one run. */
export function measureRun(system: string, run: OverloadRun, capacityPerSecond: number): OverloadFigures {
	const {usualFromMs, triggerFromMs, triggerToMs, requests, utilisation} = run;
	const usual = sentWithin(requests, usualFromMs, triggerFromMs);
	const usualComplete = usual.filter(request => isComplete(request)).length;
	const usualSeconds = (triggerFromMs - usualFromMs) / msPerSecond;
	return {
		system,
		usual: {
			offeredPerSecond: round(usual.length / usualSeconds),
			goodputPerSecond: round(usualComplete / usualSeconds),
			goodputShareOfOffered: round(usualComplete / usual.length),
			outcomes: countOutcomes(usual),
		},
		trigger: measureTrigger(run, capacityPerSecond),
		...measureRecovery(requests, triggerToMs, run.endMs),
		wrongAnswers: requests.filter(({outcome}) => outcome === RequestOutcome.Wrong).length,
		machine: {busyShare: round(utilisation), saturated: utilisation > saturatedUtilisation},
	};
}

function measureTrigger(run: OverloadRun, capacityPerSecond: number): OverloadFigures['trigger'] {
	const {triggerFromMs, triggerToMs, requests, executions} = run;
	const seconds = (triggerToMs - triggerFromMs) / msPerSecond;
	const sent = sentWithin(requests, triggerFromMs, triggerToMs);
	const answered = requests.filter(request => isComplete(request) && request.endedAtMs >= triggerFromMs && request.endedAtMs < triggerToMs);
	const executed = executions.filter(({startedAtMs}) => startedAtMs >= triggerFromMs && startedAtMs < triggerToMs);
	const calls = new Set(executed.map(({traceId, target}) => `${traceId} ${target}`)).size;
	return {
		offeredPerSecond: round(sent.length / seconds),
		capacityPerSecond: round(capacityPerSecond),
		goodputPerSecond: round(answered.length / seconds),
		goodputShareOfCapacity: round(answered.length / seconds / capacityPerSecond),
		byClass: measureClasses(sent),
		wastedWorkShare: round(wastedFraction(requests, executed)),
		executionsPerRequest: round(executed.length / sent.length),
		retriesPerCall: round((executed.length - calls) / calls),
	};
}

function measureClasses(sent: readonly RequestRecord[]): Record<string, ClassFigures> {
	const classes: Record<string, ClassFigures> = {};
	for (const name of ['charge', 'job-sheet', 'booking', 'browsing']) {
		const requests = sent.filter(({operation}) => operation === name);
		const whole = requests.filter(request => isComplete(request)).length;
		classes[name] = {
			sent: requests.length, whole, wholeShare: round(whole / requests.length), outcomes: countOutcomes(requests),
		};
	}

	return classes;
}

function wastedFraction(requests: readonly RequestRecord[], executed: readonly ExecutionRecord[]): number {
	const completeTraceIds = new Set(requests.filter(request => isComplete(request)).map(({requestId}) => requestId.replaceAll('-', '')));
	let totalMs = 0;
	let wastedMs = 0;
	for (const {ownTimeMs, traceId} of executed) {
		totalMs += ownTimeMs;
		wastedMs += completeTraceIds.has(traceId) ? 0 : ownTimeMs;
	}

	return wastedMs / totalMs;
}

/** Counts outcomes; those of incomplete requests include the error kind and status of the last answer. */
function countOutcomes(requests: readonly RequestRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {outcome, kind, status} of requests) {
		const name = [outcome, kind, outcome === RequestOutcome.Complete ? undefined : status].filter(Boolean).join(' ');
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}

function sentWithin(requests: readonly RequestRecord[], fromMs: number, toMs: number): RequestRecord[] {
	return requests.filter(({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < toMs);
}

function isComplete({outcome}: RequestRecord): boolean {
	return outcome === RequestOutcome.Complete;
}

function round(value: number): number {
	return Math.round(value * 1000) / 1000;
}
