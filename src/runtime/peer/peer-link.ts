import {type JSONRPCResponse} from 'json-rpc-2.0';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {type WireError} from '../../base/wire-error.js';
import {type PeerAddress} from './peer-address.js';
import {type PeerConnection} from './peer-connection.js';

/** A call to a peer, with its progress. */
export type LinkCall = {
	readonly id: string;
	readonly method: string;
	readonly params: unknown;
	/** Time on the monotonic clock at which the call times out. */
	readonly monotonicDeadlineMs: number;
	/** Whether bytes of the call may have reached the peer. */
	sent: boolean;
	/** Whether the call has timed out or was cancelled. */
	ended: boolean;
};

/** Maximum number of connections over which one call is tried. */
const maxTries = 4;

/** Sends calls to one incarnation of a peer over at most one connection, which is replaced when it is lost. */
export class PeerLink {
	private callers = 0;
	private connecting: Promise<PeerConnection> | undefined;
	private connection: PeerConnection | undefined;

	constructor(readonly peer: PeerAddress, private readonly dial: (peer: PeerAddress) => Promise<PeerConnection>) {}

	/** Whether a call is in progress or a connection is open. */
	get isInUse(): boolean {
		return this.callers > 0 || this.connecting !== undefined || this.isOpen();
	}

	/** Uses a connection that the peer has opened, if the link has none. */
	adopt(connection: PeerConnection): void {
		if (!this.connecting && !this.isOpen()) {
			this.connection = connection;
		}
	}

	/** Sends the call and returns its result, or throws its error. */
	async call(call: LinkCall): Promise<unknown> {
		this.callers++;
		try {
			return await this.send(call);
		} finally {
			this.callers--;
		}
	}

	/** Notifies the peer that nobody waits for a call any more. */
	cancel(call: LinkCall): void {
		if (call.sent) {
			this.connection?.notify('cancel', {id: call.id, timeoutMs: call.monotonicDeadlineMs - performance.now()});
		}
	}

	/** Sends the call, and sends it again with the same id if its connection is lost. */
	private async send(call: LinkCall): Promise<unknown> {
		for (let tries = 0; tries < maxTries && !call.ended; tries++) {
			const connection = await this.connect(call);
			await connection?.whenWritable();
			if (call.ended) {
				break;
			}

			if (!connection?.isUsable) {
				continue;
			}

			call.sent = true;
			const response = await connection.request(call.id, call.method, call.monotonicDeadlineMs - performance.now(), call.params);
			if (response) {
				return resultOf(response);
			}
		}

		throw this.createLostError(call, 'its connections were lost');
	}

	private isOpen(): boolean {
		return this.connection?.isUsable ?? false;
	}

	/** Returns the existing connection or a new one; undefined if the call was sent before and a new one closed before its hello, so that another can be tried. */
	private async connect(call: LinkCall): Promise<PeerConnection | undefined> {
		if (this.isOpen()) {
			return this.connection;
		}

		this.connecting ??= this.open();
		try {
			return await this.connecting;
		} catch (error) {
			if (!call.sent) {
				throw error;
			}

			if (!(error instanceof KumquatlineError) || error.kind !== ErrorKind.PeerUnreachable) {
				throw this.createLostError(call, 'it can no longer be reached', error);
			}

			return undefined;
		}
	}

	private async open(): Promise<PeerConnection> {
		try {
			this.connection = await this.dial(this.peer);
			return this.connection;
		} finally {
			this.connecting = undefined;
		}
	}

	private createLostError(call: LinkCall, reason: string, cause?: unknown): KumquatlineError {
		if (!call.sent) {
			return new KumquatlineError(ErrorKind.PeerUnreachable, `node ${this.peer.nodeId}: ${reason}`, {started: false, cause});
		}

		return new KumquatlineError(ErrorKind.PeerLost, `node ${this.peer.nodeId}: ${reason}`, {cause});
	}
}

function resultOf(response: JSONRPCResponse): unknown {
	if (!response.error) {
		return response.result;
	}

	const error = response.error as {message: string; data?: WireError};
	throw error.data ? fromWireError(error.data) : new KumquatlineError(ErrorKind.PeerProtocol, error.message);
}
