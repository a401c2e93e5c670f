import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';

/** Inner calls by service, nested ones included. */
export type CallCounts = Readonly<Record<string, number>>;

/** Learned data about the services that requests need: how often each route calls them, and their current thresholds. */
export interface CallGraphService {
	/** Recent thresholds to send to other nodes. */
	readonly heard: NonNullable<UpstreamLoad['heard']>;
	/** Recent refusal rates to send to other nodes. */
	readonly refusals: NonNullable<UpstreamLoad['refusals']>;
	/** Records the calls made by one execution of a route; an incomplete execution may have made fewer calls than usual. */
	recordCalls(route: string, calls: CallCounts, isComplete: boolean): void;
	/** Mean number of calls of a route to each service, without the request to the route's own service. */
	callsOf(route: string): ReadonlyMap<string, number>;
	/** Records the threshold of a service, and the thresholds of other services that its nodes reported. */
	recordThreshold(service: string, threshold: number, heard: UpstreamLoad['heard']): void;
	/** Records the refusal rate of a service as this node observes it, if it does, and the rates of other services that its nodes reported. */
	recordRefusalRate(service: string, rate: number | undefined, refusals: UpstreamLoad['refusals']): void;
	/** Current refusal rate of a service; 0 if none is known. */
	refusalRateOf(service: string): number;
	/** Current threshold of a service: 1 minus its admitted share; 0 if none is known. */
	thresholdOf(service: string): number;
}

export const CallGraphService = createServiceId<CallGraphService>('call-graph');
