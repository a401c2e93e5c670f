import {type z} from 'zod';
import {type CounterSeries} from './counter-series.js';
import {type fullNodeStatus} from './full-node-status.js';
import {parseCounters} from './parse-counters.js';
import {type ServiceStatus} from './service-status.js';

type NodeStatus = z.infer<typeof fullNodeStatus>;

const answered = 'answered';
const outcomeUnknown = 'outcome-unknown';

/** Sums the statuses of nodes by service and availability zone. */
export function summarizeServices(statuses: readonly NodeStatus[]): ServiceStatus[] {
	const summaries = new Map<string, ServiceStatus>();
	for (const status of statuses) {
		const {service = '-', availabilityZone} = status.self;
		const key = `${service} ${availabilityZone}`;
		const summary = summaries.get(key) ?? newSummary(service, availabilityZone);
		summaries.set(key, summary);
		addNode(summary, status);
		for (const series of parseCounters(status.metrics.counters)) {
			addCounter(summary, series);
		}
	}

	return [...summaries.keys()].sort().map(key => summaries.get(key)!);
}

function newSummary(service: string, availabilityZone: string): ServiceStatus {
	return {
		service,
		availabilityZone,
		nodes: 0,
		limit: 0,
		inFlight: 0,
		queued: 0,
		queueWaitMs: 0,
		threshold: 0,
		retriesGranted: 0,
		retriesDenied: 0,
		unknownOutcomes: 0,
		refused: {},
		policyVersion: Number.POSITIVE_INFINITY,
		reachStore: 0,
	};
}

function addNode(summary: ServiceStatus, {admission, policyVersion, storeReachable}: NodeStatus): void {
	summary.nodes++;
	summary.limit += admission.limit;
	summary.inFlight += admission.inFlight;
	summary.queued += admission.queued;
	summary.queueWaitMs = Math.max(summary.queueWaitMs, admission.queueWaitMs);
	summary.threshold = Math.max(summary.threshold, admission.threshold);
	summary.policyVersion = Math.min(summary.policyVersion, policyVersion);
	summary.reachStore += storeReachable ? 1 : 0;
}

function addCounter(summary: ServiceStatus, {name, tags, value}: CounterSeries): void {
	const outcome = tags.get('outcome');
	if (name === 'retries') {
		summary[outcome === 'granted' ? 'retriesGranted' : 'retriesDenied'] += value;
	}

	if (name !== 'requests' || outcome === undefined || outcome === answered) {
		return;
	}

	const key = `${tags.get('caller') ?? '-'} ${outcome}`;
	summary.refused[key] = (summary.refused[key] ?? 0) + value;
	summary.unknownOutcomes += outcome === outcomeUnknown ? value : 0;
}
