import {type JSONRPCResponse} from 'json-rpc-2.0';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {type WireError} from '../../base/wire-error.js';
import {type PeerAddress} from './peer-address.js';
import {type PeerConnection} from './peer-connection.js';

/** A call on its way, with how far it has come. */
export type LinkCall = {
	readonly id: string;
	readonly method: string;
	readonly params: unknown;
	/** Steady clock at which its time is over. */
	readonly endsAtMs: number;
	/** Whether bytes of the call may have reached the peer. */
	sent: boolean;
	/** Whether the call's time is over or its caller gone. */
	ended: boolean;
};

/** Connections that one call is tried over. */
const maxTries = 4;

/** The way to one run of a peer: at most one connection, replaced when it is lost. */
export class PeerLink {
	private callers = 0;
	private connecting: Promise<PeerConnection> | undefined;
	private connection: PeerConnection | undefined;

	constructor(readonly peer: PeerAddress, private readonly dial: (peer: PeerAddress) => Promise<PeerConnection>) {}

	/** Whether a call is on its way or a connection is open. */
	get isInUse(): boolean {
		return this.callers > 0 || this.connecting !== undefined || this.isOpen();
	}

	/** Uses a connection that the peer has opened, if there is none. */
	adopt(connection: PeerConnection): void {
		if (!this.connecting && !this.isOpen()) {
			this.connection = connection;
		}
	}

	/** Carries the call to its outcome. */
	async call(call: LinkCall): Promise<unknown> {
		this.callers++;
		try {
			return await this.send(call);
		} finally {
			this.callers--;
		}
	}

	/** Tells the peer that the caller of a call has disconnected. */
	cancel(call: LinkCall): void {
		if (call.sent) {
			this.connection?.notify('cancel', {id: call.id, timeoutMs: call.endsAtMs - performance.now()});
		}
	}

	/** Sends the call, and sends it again under its id when its connection is lost. */
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
			const response = await connection.request(call.id, call.method, call.endsAtMs - performance.now(), call.params);
			if (response) {
				return resultOf(response);
			}
		}

		throw this.lost(call, 'its connections were lost');
	}

	private isOpen(): boolean {
		return this.connection?.isUsable ?? false;
	}

	/** The connection there is, or a new one; undefined when a new one fell silent and another is worth a try. */
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
				throw this.lost(call, 'it can not be reached any more', error);
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

	private lost(call: LinkCall, reason: string, cause?: unknown): KumquatlineError {
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
