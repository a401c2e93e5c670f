import {type Disposable} from '../../../base/disposable.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {toDisposable} from '../../../base/to-disposable.js';
import {type PeerAddress} from '../../../runtime/peer/peer-address.js';
import {type PeerMethod} from '../../../runtime/peer/peer-method.js';
import {type PeerCall, type PeerService} from '../../../runtime/peer/peer-service.js';

type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;

/** In-memory calls between nodes: each node has one object, and a shared map connects them. */
export class LocalPeers implements PeerService {
	readonly self: PeerAddress;
	readonly calls: unknown[] = [];
	private readonly handlers = new Map<string, Handler>();

	constructor(nodeId: string, private readonly nodes: Map<string, LocalPeers>) {
		this.self = {
			nodeId, incarnation: `${nodeId}-1`, address: '127.0.0.1', peerPort: 1,
		};
		nodes.set(nodeId, this);
	}

	async listen(): Promise<void> {
		// There is no port.
	}

	async close(): Promise<void> {/* Nothing is open. */}

	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable {
		this.handlers.set(method.name, handler as Handler);
		return toDisposable(() => {
			this.handlers.delete(method.name);
		});
	}

	async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P): Promise<R> {
		this.calls.push(params);
		const handler = this.nodes.get(peer.nodeId)?.handlers.get(method.name);
		if (!handler) {
			throw new KumquatlineError(ErrorKind.PeerUnreachable, `${peer.nodeId} cannot be reached`);
		}

		const call = {
			from: this.self, callId: 'call', timeoutMs: 0, signal: new AbortController().signal,
		};
		return structuredClone(await handler(structuredClone(params), call)) as R;
	}
}
