import {toDisposable} from '../../../base/to-disposable.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {type PeerAddress} from '../../../runtime/peer/peer-address.js';
import {type PeerMethod} from '../../../runtime/peer/peer-method.js';
import {type PeerCall, type PeerService} from '../../../runtime/peer/peer-service.js';
import {type NodeSettings} from '../../../runtime/settings/node-settings.js';

type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;

const handlers = new Map<string, Handler>();

/** Peer calls between the nodes of a test, dispatched by incarnation. */
export class MemoryPeers implements PeerService {
	readonly self: PeerAddress;

	constructor(settings: NodeSettings, incarnation: string) {
		this.self = {
			nodeId: settings.nodeId, incarnation, address: settings.address, peerPort: 1,
		};
	}

	async listen(): Promise<void> {/* No port. */}

	async close(): Promise<void> {/* Nothing is open. */}

	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>) {
		const key = `${this.self.incarnation} ${method.name}`;
		handlers.set(key, handler as Handler);
		return toDisposable(() => {
			handlers.delete(key);
		});
	}

	async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P): Promise<R> {
		const handler = handlers.get(`${peer.incarnation} ${method.name}`);
		if (!handler) {
			throw new KumquatlineError(ErrorKind.PeerUnreachable, `${peer.nodeId} is unreachable`);
		}

		const call = {
			from: this.self, callId: 'call', timeoutMs: 0, signal: new AbortController().signal,
		};
		return await handler(params, call) as R;
	}
}
