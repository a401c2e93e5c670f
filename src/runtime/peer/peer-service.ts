import {type Disposable} from '../../base/disposable.js';
import {createServiceId} from '../kernel/create-service-id.js';
import {type PeerAddress} from './peer-address.js';
import {type PeerMethod} from './peer-method.js';

/** Context of a call that its handler receives besides the parameters. */
export type PeerCall = {
	readonly from: {readonly nodeId: string; readonly incarnation: string};
	readonly callId: string;
	/** Remaining time of the call when it arrived. */
	readonly timeoutMs: number;
	/** Aborted when the calling node cancels the call, or with `deadline-exceeded` when the call times out. */
	readonly signal: AbortSignal;
};

export type PeerCallOptions = {
	/** A node invokes each call id only once and returns the same result to every node that sends it. */
	readonly callId?: string;
	readonly timeoutMs: number;
	readonly signal?: AbortSignal;
};

/**
Calls between nodes.

Errors: `peer-unreachable` if the call certainly never reached the peer's handler; `peer-lost` if it may have reached it;
`peer-changed` if another incarnation is at the address and the call was not sent yet (if it was: `peer-lost`);
`deadline-exceeded` and `caller-gone` if the call timed out or was cancelled (also after sending); otherwise the error that the handler threw.
*/
export interface PeerService {
	/** Address of this node, once listening. */
	readonly self: PeerAddress;
	/** Opens the port; resolves when `self` has the actual port. */
	listen(): Promise<void>;
	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable;
	/** Accepts no new connections, asks peers to send no more calls, and resolves when the calls that they have sent are replied to. */
	close(): Promise<void>;
	/** Calls a peer, or this node's own handler when the peer is this node. */
	call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R>;
}

export const PeerService = createServiceId<PeerService>('peer');
