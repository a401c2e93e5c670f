import {
	JSONRPCErrorCode, JSONRPCServer, createJSONRPCErrorResponse, createJSONRPCSuccessResponse, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toDisposable} from '../../base/to-disposable.js';
import {toWireError} from '../../base/to-wire-error.js';
import {type MetricsService} from '../metrics/metrics-service.js';
import {CallMemory} from './call-memory.js';
import {type CallOutcome} from './call-outcome.js';
import {type PeerConnection} from './peer-connection.js';
import {type PeerIdentity} from './peer-identity.js';
import {type PeerCall} from './peer-service.js';
import {type WireCall} from './wire-call.js';

type CancelParams = {readonly id: string; readonly deadlineAtMs: number};
type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;

/** Code of errors whose data is a `WireError`. */
const applicationErrorCode = -32_000;

/** Runs the calls that arrive, each call id once. */
export class CallReceiver implements Disposable {
	readonly server = new JSONRPCServer<PeerConnection>({errorListener() {/* Errors travel in the response. */}});
	private readonly handlers = new Map<string, Handler>();
	private readonly memory = new CallMemory();

	constructor(private readonly clockSkewBoundMs: number, private readonly metrics: MetricsService) {
		this.server.addMethod('ping', () => true);
		this.server.addMethod('retire', (_params, connection) => {
			connection.acceptRetirement();
			return true;
		});
		this.server.addMethod('cancel', (params: Partial<CancelParams> | undefined, connection) => {
			if (typeof params?.id === 'string' && typeof params.deadlineAtMs === 'number') {
				this.cancel(params.id, connection.knownPeer!, params.deadlineAtMs);
			}
		});
	}

	handle(method: string, handler: Handler): Disposable {
		this.handlers.set(method, handler);
		this.server.addMethodAdvanced(method, async (request, connection) => this.respond(request, connection.knownPeer!));
		return toDisposable(() => {
			this.handlers.delete(method);
			this.server.removeMethod(method);
		});
	}

	/** Runs a call, or joins the one of the same id. */
	async receive(id: string, method: string, wireCall: WireCall, from: PeerIdentity): Promise<CallOutcome> {
		const known = this.memory.join(id, from.nodeId);
		if (known) {
			return known;
		}

		const nowMs = Date.now();
		const startByMs = wireCall.deadlineAtMs + this.clockSkewBoundMs;
		if (nowMs > startByMs) {
			return {error: {kind: ErrorKind.DeadlineExceeded, message: 'the call arrived after its deadline', started: false}};
		}

		if (this.memory.isFull) {
			return {error: {kind: ErrorKind.Overloaded, message: 'the node remembers as many calls as it can', started: false}};
		}

		const expiresAtMs = Math.max(startByMs, nowMs + wireCall.timeoutMs);
		return this.memory.begin(id, from.nodeId, expiresAtMs, async controller => this.run(id, method, wireCall, from, controller));
	}

	cancel(id: string, from: PeerIdentity, deadlineAtMs: number): void {
		this.memory.cancel(id, from.nodeId, deadlineAtMs + this.clockSkewBoundMs);
	}

	dispose(): void {
		this.memory.abortAll();
	}

	private async run(id: string, method: string, wireCall: WireCall, from: PeerIdentity, controller: AbortController): Promise<CallOutcome> {
		const timer = setTimeout(() => {
			controller.abort(new KumquatlineError(ErrorKind.DeadlineExceeded, 'the call took too long'));
		}, Math.max(0, wireCall.timeoutMs));
		try {
			const handler = this.handlers.get(method);
			if (!handler) {
				throw new KumquatlineError(ErrorKind.PeerProtocol, `method ${method} is not known`, {started: false});
			}

			const callId = id.slice(method.length + 1);
			return {result: await handler(wireCall.params, {from, callId, signal: controller.signal})};
		} catch (error) {
			return {error: toWireError(error)};
		} finally {
			clearTimeout(timer);
		}
	}

	private async respond(request: JSONRPCRequest, from: PeerIdentity): Promise<JSONRPCResponse> {
		const id = String(request.id);
		if (!id.startsWith(`${request.method}/`) || !isWireCall(request.params)) {
			this.metrics.count('peer.protocol_errors');
			return createJSONRPCErrorResponse(id, JSONRPCErrorCode.InvalidParams, 'malformed call');
		}

		const outcome = await this.receive(id, request.method, request.params, from);
		if (outcome.error) {
			return createJSONRPCErrorResponse(id, applicationErrorCode, outcome.error.message, outcome.error);
		}

		return createJSONRPCSuccessResponse(id, outcome.result);
	}
}

function isWireCall(params: unknown): params is WireCall {
	const {timeoutMs, deadlineAtMs} = (params ?? {}) as Partial<WireCall>;
	return typeof timeoutMs === 'number' && typeof deadlineAtMs === 'number';
}
