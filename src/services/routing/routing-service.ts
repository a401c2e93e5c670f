import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallContext} from '../calls/call-context.js';
import {type Member} from '../membership/member.js';
import {type Operation} from '../policy/operation.js';
import {type ForwardedThreshold} from '../admission/forwarded-threshold.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';

/** Finds the operation of a request and the upstream to execute it. */
export interface RoutingService {
	/** Last known load of the upstreams by node id, for the status report. */
	readonly loads: ReadonlyMap<string, UpstreamLoad>;
	/** Thresholds of services to include in replies to other nodes. */
	readonly heard: readonly ForwardedThreshold[];
	/** The operation that the policy in force declares for a request, if any. */
	match(method: string, target: string): Operation | undefined;
	/** Throws `overloaded` if the operation's service, or one that it is declared to call, would currently refuse the request. */
	refuseEarly(operation: Operation, context: CallContext): void;
	/** Chooses an upstream and counts a call as in flight to it until `recordReply`; undefined if there is no upstream. */
	choose(service: string, exclude: ReadonlySet<string>): Member | undefined;
	/** Ends a call in flight; `load` is the one in its reply, undefined if no reply arrived. */
	recordReply(member: Member, load: UpstreamLoad | undefined): void;
}

export const RoutingService = createServiceId<RoutingService>('routing');
