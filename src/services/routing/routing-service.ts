import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type CallContext} from '../calls/call-context.js';
import {type Member} from '../membership/member.js';
import {type Operation} from '../policy/operation.js';
import {type HeardThreshold} from '../admission/heard-threshold.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';

/** Finds the operation of a request and the upstream to run it. */
export interface RoutingService {
	/** What is known of upstreams' load by node id, for status. */
	readonly loads: ReadonlyMap<string, UpstreamLoad>;
	/** Thresholds of services that are worth passing on with replies. */
	readonly heard: readonly HeardThreshold[];
	/** The operation that the policy in force declares for a request, if any. */
	match(method: string, target: string): Operation | undefined;
	/** Throws `overloaded` when a service on the operation's known path would refuse the request now. */
	refuseEarly(operation: Operation, context: CallContext): void;
	/** Chooses an upstream and counts a call in flight to it until `noteReply`; undefined when there is none. */
	choose(service: string, exclude: ReadonlySet<string>): Member | undefined;
	/** Ends a call in flight, with the load on its reply when one came. */
	noteReply(member: Member, load: UpstreamLoad | undefined): void;
}

export const RoutingService = createServiceId<RoutingService>('routing');
