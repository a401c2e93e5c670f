import {type Disposable} from '../../base/disposable.js';
import {createServiceId} from '../kernel/create-service-id.js';
import {type PeerAddress} from './peer-address.js';
import {type PeerMethod} from './peer-method.js';

/** What a handler is told besides the parameters. */
export type PeerCall = {
	readonly from: {readonly nodeId: string; readonly incarnation: string};
	readonly callId: string;
	/** Time that was left for the call when it came. */
	readonly timeoutMs: number;
	/** Aborted when the calling node cancels, or with a `deadline-exceeded` when the call's time is over. */
	readonly signal: AbortSignal;
};

export type PeerCallOptions = {
	/** Same id, same call: a node runs a call id once and gives every sender of it the one result. */
	readonly callId?: string;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/**
Calls between nodes.

Errors: `peer-unreachable` when the call certainly never reached the peer's handler; `peer-lost` when it may have;
`peer-changed` when another incarnation answers at the address (then it never reached the one meant, unless sent before: `peer-lost`);
`deadline-exceeded` and `caller-gone` for the call's own end (after sending); else the error that the handler threw.
*/
export interface PeerService {
	/** Address of this node, once listening. */
	readonly self: PeerAddress;
	/** Opens the port; settled when `self` holds the real port. */
	listen(): Promise<void>;
	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable;
	/** Takes no new connections, has peers send no more calls, and resolves when those that they had sent are answered. */
	close(): Promise<void>;
	/** Calls a peer, or this node's own handler when the peer is this node. */
	call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R>;
}

export const PeerService = createServiceId<PeerService>('peer');
