import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';

/** Calls by service, deep ones included. */
export type CallCounts = Readonly<Record<string, number>>;

/** What a node has learned of the services that requests need: how often each route calls them, and what they refuse at present. */
export interface CallGraphService {
	/** Thresholds that are worth passing on. */
	readonly heard: NonNullable<UpstreamLoad['heard']>;
	/** Notes the calls that one execution of a route has made; one that was cut short may have made fewer than usual. */
	noteCalls(route: string, calls: CallCounts, isWhole: boolean): void;
	/** Mean calls of a route by service, without the route's own. */
	callsOf(route: string): ReadonlyMap<string, number>;
	/** Notes the refusal threshold of a service, and those that its nodes had heard of. */
	noteThreshold(service: string, threshold: number, heard: UpstreamLoad['heard']): void;
	/** Least rank that a service takes at present, with the refused share of that very rank as fraction. */
	thresholdOf(service: string): number;
}

export const CallGraphService = createServiceId<CallGraphService>('call-graph');
