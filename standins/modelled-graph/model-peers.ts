import {ErrorKind} from '../../src/base/error-kind.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {toDisposable} from '../../src/base/to-disposable.js';
import {type Disposable} from '../../src/base/disposable.js';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {type PeerMethod} from '../../src/runtime/peer/peer-method.js';
import {type PeerCall, type PeerCallOptions, type PeerService} from '../../src/runtime/peer/peer-service.js';

type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;

/** Time that a message takes from one node to another. */
const transitMs = 0.5;

/** Delivers calls between the nodes of a model, with a transit time in each direction. */
export class ModelPeers implements PeerService {
	private handler: Handler | undefined;

	constructor(readonly self: PeerAddress, private readonly peersByNodeId: ReadonlyMap<string, ModelPeers>, private readonly useProcessor: () => Promise<void>) {}

	async listen(): Promise<void> {
		// Nothing is opened.
	}

	async close(): Promise<void> {
		// Nothing is open.
	}

	handle<P, R>(_method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable {
		this.handler = handler as Handler;
		return toDisposable(() => {
			this.handler = undefined;
		});
	}

	async call<P, R>(peer: PeerAddress, _method: PeerMethod<P, R>, params: P, {callId = '', timeoutMs, signal}: PeerCallOptions): Promise<R> {
		const controller = new AbortController();
		return new Promise<R>((resolve, reject) => {
			const fail = (kind: ErrorKind) => {
				const error = new KumquatlineError(kind, 'the call timed out or was cancelled');
				controller.abort(error);
				reject(error);
			};

			const timer = setTimeout(() => {
				fail(ErrorKind.DeadlineExceeded);
			}, timeoutMs);
			const onAbort = () => {
				fail(ErrorKind.CallerGone);
			};

			signal?.addEventListener('abort', onAbort, {once: true});
			const deliverReply = (complete: () => void) => {
				setTimeout(async () => {
					await this.useProcessor();
					clearTimeout(timer);
					signal?.removeEventListener('abort', onAbort);
					complete();
				}, transitMs);
			};

			setTimeout(async () => {
				try {
					const result = await this.peersByNodeId.get(peer.nodeId)!.receive(params, {
						from: this.self, callId, timeoutMs: timeoutMs - transitMs, signal: controller.signal,
					});
					deliverReply(() => {
						resolve(result as R);
					});
				} catch (error) {
					const failure = error instanceof KumquatlineError ? error : new KumquatlineError(ErrorKind.Internal, String(error));
					deliverReply(() => {
						reject(failure);
					});
				}
			}, transitMs);
		});
	}

	private async receive(params: unknown, call: PeerCall): Promise<unknown> {
		await this.useProcessor();
		if (!this.handler) {
			throw new KumquatlineError(ErrorKind.PeerUnreachable, 'the node has no handler for calls', {started: false});
		}

		return this.handler(params, call);
	}
}
