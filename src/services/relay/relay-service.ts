import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type Route} from '../routes/route.js';
import {type RelayAnswer} from './relay-answer.js';
import {type LoadSource} from './load-source.js';
import {type RelayRequest} from './relay-request.js';

/** A request as the node that took it from its caller hands it on. */
export type EnteredRequest = Omit<RelayRequest, 'service' | 'route' | 'idempotent' | 'priority' | 'isInner'> & {
	/** The route as it was when the request came. */
	readonly matched: Route;
	/** Priority of the running request that makes this call; undefined for a caller's own. */
	readonly callerPriority?: number;
	/** Steady clock at which its time is over. */
	readonly endsAtMs: number;
};

/** Brings callers' requests to an upstream and whole answers back. */
export interface RelayService extends LoadSource {
	/** Throws errors whose `started` is false only where no upstream has begun the request or ever will. */
	relay(request: EnteredRequest, signal: AbortSignal): Promise<RelayAnswer>;
}

export const RelayService = createServiceId<RelayService>('relay');
