import {randomUUID} from 'node:crypto';
import {type Socket} from 'node:net';
import {
	JSONRPCClient, createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCRequest, isJSONRPCRequest, isJSONRPCResponse,
	JSONRPCErrorCode, type JSONRPCRequest, type JSONRPCResponse, type JSONRPCServer,
} from 'json-rpc-2.0';
import {Deferred} from '../../base/deferred.js';
import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../log/log-service.js';
import {type MetricsService} from '../metrics/metrics-service.js';
import {attach, detach} from './attachment.js';
import {FrameChannel} from './frame-channel.js';
import {type PeerIdentity} from './peer-identity.js';
import {SilenceDetector} from './silence-detector.js';
import {LatenessEstimator} from './lateness-estimator.js';
import {type WireCall} from './wire-call.js';

export type PeerConnectionOptions = {
	readonly self: PeerIdentity;
	readonly server: JSONRPCServer<PeerConnection>;
	readonly log: LogService;
	readonly metrics: MetricsService;
	readonly probeAfterMs: number;
	readonly abandonAfterMs: number;
};

const helloMethod = 'hello';

/** Bidirectional JSON-RPC over one TCP connection. */
export class PeerConnection implements Disposable {
	private readonly identified = new Deferred<PeerIdentity>();
	private readonly closeEmitter = new Emitter<void>();
	/** Fired when all calls that the peer sent have been replied to. */
	private readonly allRepliedEmitter = new Emitter<void>();
	private readonly pending = new Map<string, Promise<JSONRPCResponse>>();
	private readonly channel: FrameChannel;
	private readonly silenceDetector: SilenceDetector;
	private readonly latenessEstimator = new LatenessEstimator();
	private readonly client = new JSONRPCClient((payload: JSONRPCRequest) => {
		this.send(payload);
	});

	private incomingCalls = 0;
	private isRetired = false;
	private lastUsedAtMs = performance.now();
	private identity: PeerIdentity | undefined;

	constructor(socket: Socket, private readonly options: PeerConnectionOptions) {
		this.silenceDetector = new SilenceDetector(options.probeAfterMs, options.abandonAfterMs, {
			probe: () => {
				void this.sendRequest(`ping/${randomUUID()}`, 'ping', undefined);
			},
			abandon: () => {
				this.abandon();
			},
		});
		this.channel = new FrameChannel(socket, {
			receive: ({json, attachment}) => {
				this.receive(JSON.parse(json), attachment);
			},
			progress: () => {
				this.silenceDetector.recordReceived();
			},
			protocolError: error => {
				this.closeOnProtocolError(error);
			},
			closed: () => {
				this.close();
			},
		});
		void ignoreFailure(this.identified.promise);
		this.send(createJSONRPCNotification(helloMethod, {...options.self, sentAtMs: this.latenessEstimator.nowMs}));
	}

	/** Resolves with the identity of the other end when its hello arrives; rejects if the connection closes before. */
	get peer(): Promise<PeerIdentity> {
		return this.identified.promise;
	}

	get knownPeer(): PeerIdentity | undefined {
		return this.identity;
	}

	get onDidClose(): Event<void> {
		return this.closeEmitter.event;
	}

	get isClosed(): boolean {
		return this.channel.isClosed;
	}

	/** Whether another call may be sent over the connection. */
	get isUsable(): boolean {
		return !this.isClosed && !this.isRetired;
	}

	/** Time since the last call or reply on the connection; 0 while a call is in progress. */
	get idleMs(): number {
		return this.pending.size + this.incomingCalls > 0 ? 0 : performance.now() - this.lastUsedAtMs;
	}

	/** Resolves when the send queue has free capacity for another call, or the connection is closed. */
	async whenWritable(): Promise<void> {
		return this.channel.whenWritable();
	}

	/** Sends a call with its remaining time; resolves with undefined if the connection is lost before the reply. */
	async request(id: string, method: string, timeoutMs: number, params: unknown): Promise<JSONRPCResponse | undefined> {
		if (this.isClosed) {
			return undefined;
		}

		const response = await (this.pending.get(id) ?? this.sendCall(id, method, timeoutMs, params));
		return this.isClosed && !isFromPeer(response) ? undefined : response;
	}

	/** Handles the request of the other end to send it no more calls; calls in progress continue. */
	acceptRetirement(): void {
		this.isRetired = true;
	}

	/** Asks the other end to send no more calls, and closes when the calls that it has sent are replied to. */
	async retire(): Promise<void> {
		await this.sendRequest(`retire/${randomUUID()}`, 'retire', undefined);
		if (this.incomingCalls > 0 && !this.isClosed) {
			const answered = new Deferred<void>();
			const subscriptions = [this.allRepliedEmitter.event(answered.resolve), this.onDidClose(answered.resolve)];
			await answered.promise;
			for (const subscription of subscriptions) {
				subscription.dispose();
			}
		}

		await this.channel.finish();
	}

	/** Records the arrival of a message and returns its lateness. */
	latenessMs(sentAtMs: number): number {
		return this.latenessEstimator.recordArrival(sentAtMs);
	}

	notify(method: string, params: unknown): void {
		this.send(createJSONRPCNotification(method, params));
	}

	dispose(): void {
		this.channel.dispose();
	}

	private async sendCall(id: string, method: string, timeoutMs: number, params: unknown): Promise<JSONRPCResponse> {
		const call: WireCall = {timeoutMs, sentAtMs: this.latenessEstimator.nowMs, params};
		return this.sendRequest(id, method, call);
	}

	private send(payload: JSONRPCRequest | JSONRPCResponse): void {
		const {message, attachment} = detach({...payload});
		this.channel.send(message, attachment);
	}

	private async sendRequest(id: string, method: string, params: unknown): Promise<JSONRPCResponse> {
		const response = Promise.resolve(this.client.requestAdvanced(createJSONRPCRequest(id, method, params)));
		this.pending.set(id, response);
		this.silenceDetector.start();
		try {
			return await response;
		} finally {
			this.pending.delete(id);
			this.lastUsedAtMs = performance.now();
			this.silenceDetector.stopIfIdle(this.pending.size);
		}
	}

	private receive(payload: unknown, attachment: Uint8Array): void {
		if (this.isClosed) {
			return;
		}

		if (isJSONRPCResponse(payload)) {
			attach(payload, attachment);
			this.receiveResponse(payload);
			return;
		}

		if (!isJSONRPCRequest(payload)) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'frame is neither a JSON-RPC request nor a JSON-RPC response');
		}

		this.silenceDetector.recordReceived();
		if (payload.method === helloMethod) {
			this.receiveHello(payload.params as PeerIdentity & {readonly sentAtMs: number});
			return;
		}

		if (!this.identity) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'request before the hello');
		}

		attach(payload, attachment);
		void this.answer(payload);
	}

	/** A reply to no outstanding call doesn't end the silence, as it may be meant for another connection. */
	private receiveResponse(response: JSONRPCResponse): void {
		if (!this.pending.has(String(response.id))) {
			this.options.metrics.count('peer.unknown_replies');
			return;
		}

		this.silenceDetector.recordReceived();
		this.client.receive(response);
	}

	private receiveHello(hello: PeerIdentity & {readonly sentAtMs: number}): void {
		if (typeof hello?.nodeId !== 'string' || typeof hello.incarnation !== 'string' || typeof hello.sentAtMs !== 'number') {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'malformed hello');
		}

		if (this.identity && this.identity.incarnation !== hello.incarnation) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'a second hello names another incarnation of a node');
		}

		this.latenessEstimator.recordArrival(hello.sentAtMs);
		this.identity = {nodeId: hello.nodeId, incarnation: hello.incarnation};
		this.identified.resolve(this.identity);
	}

	private async answer(request: JSONRPCRequest): Promise<void> {
		this.incomingCalls++;
		const response = await this.options.server.receive(request, this);
		this.incomingCalls--;
		this.lastUsedAtMs = performance.now();
		this.closeStuckReader();
		if (response) {
			this.send(response);
		}

		if (this.incomingCalls === 0) {
			this.allRepliedEmitter.fire();
		}
	}

	/** Closes the connection if the other end reads too slowly and too much unsent data has accumulated; checked before a reply is added, so that a single reply of any size can be sent. */
	private closeStuckReader(): void {
		if (!this.isClosed && this.channel.isStuck) {
			this.options.metrics.count('peer.stuck_readers');
			this.dispose();
		}
	}

	private abandon(): void {
		this.options.metrics.count('peer.silent_connections');
		this.options.log.warn('peer connection is silent and abandoned', {peer: this.identity?.nodeId});
		this.dispose();
	}

	/** Closes the connection after invalid data and sends the reason to the other end. */
	private closeOnProtocolError(error: unknown): void {
		const message = error instanceof Error ? error.message : String(error);
		this.options.metrics.count('peer.protocol_errors');
		this.options.log.warn('closing a peer connection after a protocol error', {peer: this.identity?.nodeId, reason: message});

		this.send(createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, message));
		this.channel.end();
	}

	private close(): void {
		this.silenceDetector.dispose();
		this.identified.reject(new KumquatlineError(ErrorKind.PeerUnreachable, 'the connection closed before the hello', {started: false}));
		this.client.rejectAllPendingRequests('connection closed');
		this.closeEmitter.fire();
		this.closeEmitter.dispose();
	}
}

/** Prevents an unhandled rejection; callers that wait for the promise still receive the error. */
async function ignoreFailure(promise: Promise<unknown>): Promise<void> {
	try {
		await promise;
	} catch {}
}

/** Whether the reply came from the peer: a request that the JSON-RPC client itself rejects ends with code 0 and no data. */
function isFromPeer(response: JSONRPCResponse): boolean {
	return response.error?.code !== 0;
}
