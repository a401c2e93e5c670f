import {
	JSONRPCErrorCode, JSONRPCServer, createJSONRPCErrorResponse, createJSONRPCSuccessResponse, type JSONRPCRequest, type JSONRPCResponse,
} from 'json-rpc-2.0';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toDisposable} from '../../base/to-disposable.js';
import {toWireError} from '../../base/to-wire-error.js';
import {type MetricsService} from '../metrics/metrics-service.js';
import {CallDeduplicator} from './call-deduplicator.js';
import {type CallOutcome} from './call-outcome.js';
import {type PeerConnection} from './peer-connection.js';
import {type PeerIdentity} from './peer-identity.js';
import {type PeerCall} from './peer-service.js';
import {type WireCall} from './wire-call.js';

type CancelParams = {readonly id: string; readonly timeoutMs: number};
type ReceivedCall = {readonly id: string; readonly method: string; readonly params: unknown};
type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;

/** JSON-RPC code of errors whose data is a `WireError`. */
const applicationErrorCode = -32_000;

/** Invokes the handlers of incoming calls, once for each call id. */
export class CallReceiver implements Disposable {
	readonly server = new JSONRPCServer<PeerConnection>({errorListener() {/* Errors are returned in the reply. */}});
	private readonly handlers = new Map<string, Handler>();
	private readonly deduplicator = new CallDeduplicator();

	/** The lateness of a duplicate may be underestimated by up to `latenessErrorBoundMs`. */
	constructor(private readonly latenessErrorBoundMs: number, private readonly metrics: MetricsService) {
		this.server.addMethod('ping', () => true);
		this.server.addMethod('retire', (_params, connection) => {
			connection.acceptRetirement();
			return true;
		});
		this.server.addMethod('cancel', (params: Partial<CancelParams> | undefined, connection) => {
			if (typeof params?.id === 'string' && typeof params.timeoutMs === 'number') {
				this.cancel(params.id, connection.knownPeer!, params.timeoutMs);
			}
		});
	}

	handle(method: string, handler: Handler): Disposable {
		this.handlers.set(method, handler);
		this.server.addMethodAdvanced(method, async (request, connection) => this.respond(request, connection));
		return toDisposable(() => {
			this.handlers.delete(method);
			this.server.removeMethod(method);
		});
	}

	/** Invokes a call with the given remaining time, or joins the earlier call with the same id. */
	async receive({id, method, params}: ReceivedCall, timeoutMs: number, from: PeerIdentity): Promise<CallOutcome> {
		const known = this.deduplicator.join(id, from.nodeId);
		if (known) {
			return known;
		}

		if (timeoutMs <= 0) {
			return {error: {kind: ErrorKind.DeadlineExceeded, message: 'the call arrived after its deadline', started: false}};
		}

		if (this.deduplicator.isFull) {
			return {error: {kind: ErrorKind.Overloaded, message: 'the node cannot track more peer calls', started: false}};
		}

		const call = {id, method, params};
		return this.deduplicator.start(id, from.nodeId, this.expiryAfter(timeoutMs), async controller => this.run(call, timeoutMs, from, controller));
	}

	cancel(id: string, from: PeerIdentity, timeoutMs: number): void {
		this.deduplicator.cancel(id, from.nodeId, this.expiryAfter(timeoutMs));
	}

	dispose(): void {
		this.deduplicator.abortAll();
	}

	/** Time on the monotonic clock after which no duplicate of a call may start. */
	private expiryAfter(timeoutMs: number): number {
		return performance.now() + Math.max(0, timeoutMs) + this.latenessErrorBoundMs;
	}

	private async run({id, method, params}: ReceivedCall, timeoutMs: number, from: PeerIdentity, controller: AbortController): Promise<CallOutcome> {
		const timer = setTimeout(() => {
			controller.abort(new KumquatlineError(ErrorKind.DeadlineExceeded, 'the call timed out'));
		}, timeoutMs);
		try {
			const handler = this.handlers.get(method);
			if (!handler) {
				throw new KumquatlineError(ErrorKind.PeerProtocol, `unknown method ${method}`, {started: false});
			}

			const callId = id.slice(method.length + 1);
			return {
				result: await handler(params, {
					from, callId, timeoutMs, signal: controller.signal,
				}),
			};
		} catch (error) {
			return {error: toWireError(error)};
		} finally {
			clearTimeout(timer);
		}
	}

	private async respond(request: JSONRPCRequest, connection: PeerConnection): Promise<JSONRPCResponse> {
		const id = String(request.id);
		if (!id.startsWith(`${request.method}/`) || !isWireCall(request.params)) {
			this.metrics.count('peer.protocol_errors');
			return createJSONRPCErrorResponse(id, JSONRPCErrorCode.InvalidParams, 'malformed call');
		}

		const {timeoutMs, sentAtMs, params} = request.params;
		const remainingMs = timeoutMs - connection.latenessMs(sentAtMs);
		const outcome = await this.receive({id, method: request.method, params}, remainingMs, connection.knownPeer!);
		if (outcome.error) {
			return createJSONRPCErrorResponse(id, applicationErrorCode, outcome.error.message, outcome.error);
		}

		return createJSONRPCSuccessResponse(id, outcome.result);
	}
}

function isWireCall(params: unknown): params is WireCall {
	const {timeoutMs, sentAtMs} = (params ?? {}) as Partial<WireCall>;
	return typeof timeoutMs === 'number' && typeof sentAtMs === 'number';
}
