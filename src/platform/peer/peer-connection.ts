import {type Socket} from 'node:net';
import {
	JSONRPCClient, createJSONRPCErrorResponse, createJSONRPCNotification, createJSONRPCRequest, isJSONRPCRequest, isJSONRPCResponse,
	JSONRPCErrorCode, type JSONRPCResponse, type JSONRPCServer,
} from 'json-rpc-2.0';
import {Deferred} from '../../base/deferred.js';
import {type Disposable} from '../../base/disposable.js';
import {Emitter} from '../../base/emitter.js';
import {type Event} from '../../base/event.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type LogService} from '../log/log-service.js';
import {type MetricsService} from '../metrics/metrics-service.js';
import {encodeFrame} from './encode-frame.js';
import {FrameDecoder} from './frame-decoder.js';
import {type PeerIdentity} from './peer-identity.js';
import {SilenceWatch} from './silence-watch.js';

export type PeerConnectionOptions = {
	readonly self: PeerIdentity;
	readonly server: JSONRPCServer<PeerConnection>;
	readonly log: LogService;
	readonly metrics: MetricsService;
	readonly probeAfterMs: number;
	readonly abandonAfterMs: number;
};

/** A base64 answer of the greatest size that a policy allows, and its headers, fit in. */
const maxFrameBytes = 4_194_304;
/** Bytes waiting to be sent above which new calls wait. */
const highWaterBytes = 1_048_576;
/** Bytes waiting to be sent above which the reader counts as stuck. */
const maxWaitingBytes = 33_554_432;
const helloMethod = 'hello';

/** JSON-RPC in both directions over one TCP connection. */
export class PeerConnection implements Disposable {
	private readonly identified = new Deferred<PeerIdentity>();
	private readonly closeEmitter = new Emitter<void>();
	private readonly pending = new Map<string, Promise<JSONRPCResponse>>();
	private readonly decoder = new FrameDecoder(maxFrameBytes);
	private readonly silence: SilenceWatch;
	private readonly client = new JSONRPCClient(payload => {
		this.send(payload);
	});

	private probes = 0;
	private closed = false;
	private identity: PeerIdentity | undefined;

	constructor(private readonly socket: Socket, private readonly options: PeerConnectionOptions) {
		this.silence = new SilenceWatch(options.probeAfterMs, options.abandonAfterMs, {
			probe: () => {
				this.probe();
			},
			abandon: () => {
				this.abandon();
			},
		});
		void ignoreFailure(this.identified.promise);
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.receive(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.dispose();
		});
		this.send(createJSONRPCNotification(helloMethod, options.self));
	}

	/** Identity of the other end once it has said hello; rejected when the connection closes before. */
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
		return this.closed;
	}

	/** Resolves when the bytes waiting to be sent are few, or the connection is closed. */
	async whenWritable(): Promise<void> {
		while (!this.closed && this.socket.writableLength > highWaterBytes) {
			const drained = new Deferred<void>();
			this.socket.once('drain', drained.resolve);
			const subscription = this.onDidClose(drained.resolve);
			await drained.promise;
			subscription.dispose();
		}
	}

	/** Sends a request; undefined when the connection is lost before the response. */
	async request(id: string, method: string, params: unknown): Promise<JSONRPCResponse | undefined> {
		if (this.closed) {
			return undefined;
		}

		const response = await (this.pending.get(id) ?? this.sendRequest(id, method, params));
		return this.closed && !isAnswered(response) ? undefined : response;
	}

	notify(method: string, params: unknown): void {
		this.send(createJSONRPCNotification(method, params));
	}

	dispose(): void {
		if (this.closed) {
			return;
		}

		this.closed = true;
		this.silence.dispose();
		this.socket.destroy();
		this.identified.reject(new KumquatlineError(ErrorKind.PeerUnreachable, 'the connection closed before the hello', {started: false}));
		this.client.rejectAllPendingRequests('connection closed');
		this.closeEmitter.fire();
		this.closeEmitter.dispose();
	}

	private async sendRequest(id: string, method: string, params: unknown): Promise<JSONRPCResponse> {
		const response = Promise.resolve(this.client.requestAdvanced(createJSONRPCRequest(id, method, params)));
		this.pending.set(id, response);
		this.silence.begin(this.pending.size);
		try {
			return await response;
		} finally {
			this.pending.delete(id);
			this.silence.end(this.pending.size);
		}
	}

	private send(payload: unknown): void {
		if (this.closed) {
			return;
		}

		this.socket.write(encodeFrame(JSON.stringify(payload)));
		if (this.socket.writableLength > maxWaitingBytes) {
			this.options.metrics.count('peer.stuck_readers');
			this.dispose();
		}
	}

	private receive(chunk: Uint8Array): void {
		this.silence.noteReceived();
		try {
			for (const frame of this.decoder.push(chunk)) {
				this.receiveFrame(frame);
			}
		} catch (error) {
			this.refuse(error);
		}
	}

	private receiveFrame(frame: string): void {
		if (this.closed) {
			return;
		}

		const payload: unknown = JSON.parse(frame);
		if (isJSONRPCResponse(payload)) {
			this.receiveResponse(payload);
			return;
		}

		if (!isJSONRPCRequest(payload)) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'frame is neither a request nor a response');
		}

		if (payload.method === helloMethod) {
			this.receiveHello(payload.params as PeerIdentity);
			return;
		}

		if (!this.identity) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'request before the hello');
		}

		void this.answer(payload);
	}

	private receiveResponse(response: JSONRPCResponse): void {
		if (!this.pending.has(String(response.id))) {
			this.options.metrics.count('peer.unknown_replies');
			return;
		}

		this.client.receive(response);
	}

	private receiveHello(hello: PeerIdentity): void {
		if (typeof hello?.nodeId !== 'string' || typeof hello.incarnation !== 'string') {
			throw new KumquatlineError(ErrorKind.PeerProtocol, 'malformed hello');
		}

		this.identity = {nodeId: hello.nodeId, incarnation: hello.incarnation};
		this.identified.resolve(this.identity);
	}

	private async answer(request: Parameters<JSONRPCServer['receive']>[0]): Promise<void> {
		const response = await this.options.server.receive(request, this);
		if (response) {
			this.send(response);
		}
	}

	private probe(): void {
		this.probes++;
		void this.sendRequest(`ping/${this.probes}`, 'ping', undefined);
	}

	private abandon(): void {
		this.options.metrics.count('peer.silent_connections');
		this.options.log.warn('peer connection is silent and abandoned', {peer: this.identity?.nodeId});
		this.dispose();
	}

	/** Closes a connection whose bytes make no sense, telling the other end why. */
	private refuse(error: unknown): void {
		const message = error instanceof Error ? error.message : String(error);
		this.options.metrics.count('peer.protocol_errors');
		this.options.log.warn('peer connection broke the protocol', {peer: this.identity?.nodeId, reason: message});

		this.send(createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, message));
		this.socket.end();
		this.dispose();
	}
}

/** A connection that closes early is reported to whoever waits for it, if anyone does. */
async function ignoreFailure(promise: Promise<unknown>): Promise<void> {
	try {
		await promise;
	} catch {}
}

/** The client answers requests it gave up itself with this code and no data. */
function isAnswered(response: JSONRPCResponse): boolean {
	return response.error?.code !== 0;
}
