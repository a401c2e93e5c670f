import {type Disposable} from '../../../../base/disposable.js';
import {ErrorKind} from '../../../../base/error-kind.js';
import {KumquatlineError} from '../../../../base/kumquatline-error.js';
import {toDisposable} from '../../../../base/to-disposable.js';
import {type PeerAddress} from '../../../../runtime/peer/peer-address.js';
import {type PeerMethod} from '../../../../runtime/peer/peer-method.js';
import {type PeerCall, type PeerCallOptions, type PeerService} from '../../../../runtime/peer/peer-service.js';
import {type MeshConditions} from './mesh-conditions.js';
import {type MeshProcess} from './mesh-process.js';

type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;

const failureDetectionMs = 100;

/** Peers of a mesh by node id. */
export type MeshPeers = Map<string, MeshPeerService>;

/** Calls between the nodes of a mesh in one process: messages are delayed, wait for frozen nodes and get lost. */
export class MeshPeerService implements PeerService {
	readonly self: PeerAddress;
	private readonly handlers = new Map<string, Handler>();
	private callCount = 0;

	constructor(
		private readonly peers: MeshPeers,
		private readonly conditions: MeshConditions,
		readonly process: MeshProcess,
	) {
		const {nodeId, incarnation} = process;
		this.self = {
			nodeId, incarnation, address: '127.0.0.1', peerPort: 1,
		};
	}

	async listen(): Promise<void> {
		this.peers.set(this.self.nodeId, this);
	}

	async close(): Promise<void> {/* There is no connection to close. */}

	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable {
		this.handlers.set(method.name, handler as Handler);
		return toDisposable(() => {
			this.handlers.delete(method.name);
		});
	}

	async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R> {
		const controller = new AbortController();
		const timer = setTimeout(() => {
			controller.abort(ErrorKind.DeadlineExceeded);
		}, options.timeoutMs);
		const onAbort = () => {
			controller.abort(ErrorKind.CallerGone);
		};

		options.signal?.addEventListener('abort', onAbort);
		const callId = options.callId ?? `${this.self.nodeId}-${++this.callCount}`;
		const ended = new Promise<never>((_resolve, reject) => {
			controller.signal.addEventListener('abort', () => {
				reject(new KumquatlineError(controller.signal.reason as ErrorKind, 'the call ended before its reply arrived'));
			});
		});
		try {
			return await Promise.race([this.exchange(peer, method.name, params, {
				from: this.self, callId, timeoutMs: options.timeoutMs, signal: controller.signal,
			}), ended]) as R;
		} finally {
			clearTimeout(timer);
			options.signal?.removeEventListener('abort', onAbort);
		}
	}

	private async exchange(peer: PeerAddress, method: string, params: unknown, call: PeerCall): Promise<unknown> {
		await this.process.running();
		if (peer.nodeId === this.self.nodeId && peer.incarnation === this.self.incarnation) {
			return this.handlers.get(method)!(params, call);
		}

		await this.conditions.transit();
		const target = this.peers.get(peer.nodeId);
		if (!target || target.process.isKilled || this.conditions.isCut(peer.nodeId, this.self.nodeId)) {
			throw await this.failure(ErrorKind.PeerUnreachable);
		}

		if (target.self.incarnation !== peer.incarnation) {
			throw await this.failure(ErrorKind.PeerChanged);
		}

		const lost = this.rejectWhenKilled(target.process);
		const result = await Promise.race([target.receive(method, structuredClone(params), call), lost]);
		await Promise.race([target.process.running(), lost]);
		await this.conditions.transit();
		if (this.conditions.isCut(peer.nodeId, this.self.nodeId) || this.conditions.chance(this.conditions.lostReplyRate)) {
			throw await this.failure(ErrorKind.PeerLost);
		}

		await this.process.running();
		return structuredClone(result);
	}

	private async receive(method: string, params: unknown, call: PeerCall): Promise<unknown> {
		await this.process.running();
		const handler = this.handlers.get(method);
		if (!handler) {
			throw new KumquatlineError(ErrorKind.PeerProtocol, `no method ${method}`);
		}

		return handler(params, call);
	}

	/** Rejects when the peer's process is killed. */
	private async rejectWhenKilled(process: MeshProcess): Promise<never> {
		await process.killed.promise;
		throw await this.failure(ErrorKind.PeerLost);
	}

	private async failure(kind: ErrorKind): Promise<KumquatlineError> {
		await this.conditions.pause(failureDetectionMs);
		await this.process.running();
		return new KumquatlineError(kind, 'the peer cannot be reached');
	}
}
