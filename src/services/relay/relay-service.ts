import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type Route} from '../routes/route.js';
import {type RelayAnswer} from './relay-answer.js';
import {type LoadSource} from './load-source.js';
import {type RelayRequest} from './relay-request.js';

/** A request as the node that received it from its caller passes it to the relay. */
export type EnteredRequest = Omit<RelayRequest, 'service' | 'route' | 'idempotent' | 'priority' | 'isInner'> & {
	/** The route as it was when the request arrived. */
	readonly matched: Route;
	/** Priority of the parent request of an inner call; undefined for a root request. */
	readonly parentPriority?: number;
	/** Deadline on the monotonic clock. */
	readonly monotonicDeadlineMs: number;
};

/** Forwards requests to an upstream and returns complete answers. */
export interface RelayService extends LoadSource {
	/** Throws errors whose `started` is false only if no upstream has started to execute the request or ever will. */
	relay(request: EnteredRequest, signal: AbortSignal): Promise<RelayAnswer>;
}

export const RelayService = createServiceId<RelayService>('relay');
