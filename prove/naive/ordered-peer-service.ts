import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {Deferred} from '../../src/base/deferred.js';
import {type Disposable} from '../../src/base/disposable.js';
import {ErrorKind} from '../../src/base/error-kind.js';
import {fromWireError} from '../../src/base/from-wire-error.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {toDisposable} from '../../src/base/to-disposable.js';
import {toWireError} from '../../src/base/to-wire-error.js';
import {type WireError} from '../../src/base/wire-error.js';
import {encodeFrame} from '../../src/runtime/peer/encode-frame.js';
import {FrameDecoder} from '../../src/runtime/peer/frame-decoder.js';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {type PeerMethod} from '../../src/runtime/peer/peer-method.js';
import {type PeerCall, type PeerCallOptions, type PeerService} from '../../src/runtime/peer/peer-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';

type Handler = (params: unknown, call: PeerCall) => Promise<unknown>;
type Request = {readonly method: string; readonly params: unknown};
type Reply = {readonly result?: unknown; readonly error?: WireError};
type Connection = {readonly socket: Socket; readonly waiting: Array<Deferred<Reply>>};

const maxFrameBytes = 4_194_304;

/** Naive variant of peer calls: a reply is matched to the oldest call on its connection. */
export class OrderedPeerService implements PeerService, Disposable {
	private readonly handlers = new Map<string, Handler>();
	private readonly connections = new Map<number, Connection>();
	private readonly sockets = new Set<Socket>();
	private readonly server = createServer(socket => {
		this.read(socket, frame => {
			void this.answer(socket, JSON.parse(frame) as Request);
		});
	});

	constructor(@SettingsService private readonly settingsService: SettingsService) {}

	get self(): PeerAddress {
		const {settings: {nodeId, address}, incarnation} = this.settingsService;
		return {
			nodeId, incarnation, address, peerPort: (this.server.address() as AddressInfo).port,
		};
	}

	async listen(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	async close(): Promise<void> {/* Nothing is open. */}

	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable {
		this.handlers.set(method.name, async (params, call) => handler(params as P, call));
		return toDisposable(() => {
			this.handlers.delete(method.name);
		});
	}

	async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, {timeoutMs}: PeerCallOptions): Promise<R> {
		const {socket, waiting} = this.connectionTo(peer.peerPort);
		const reply = new Deferred<Reply>();
		waiting.push(reply);
		socket.write(encodeFrame(JSON.stringify({method: method.name, params})));
		const timer = setTimeout(() => {
			reply.reject(new KumquatlineError(ErrorKind.DeadlineExceeded, 'the call timed out'));
		}, timeoutMs);
		const {result, error} = await reply.promise;
		clearTimeout(timer);
		if (error) {
			throw fromWireError(error);
		}

		return result as R;
	}

	dispose(): void {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	private connectionTo(port: number): Connection {
		const existing = this.connections.get(port);
		if (existing && !existing.socket.destroyed) {
			return existing;
		}

		const connection: Connection = {socket: connect(port, '127.0.0.1'), waiting: []};
		this.connections.set(port, connection);
		this.read(connection.socket, frame => {
			connection.waiting.shift()?.resolve(JSON.parse(frame) as Reply);
		});
		connection.socket.once('close', () => {
			for (const reply of connection.waiting) {
				reply.reject(new KumquatlineError(ErrorKind.PeerLost, 'the connection was lost'));
			}
		});
		return connection;
	}

	private read(socket: Socket, receive: (frame: string) => void): void {
		const decoder = new FrameDecoder(maxFrameBytes);
		this.sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			this.sockets.delete(socket);
		});
		socket.on('data', chunk => {
			try {
				for (const frame of decoder.push(chunk)) {
					receive(frame.json);
				}
			} catch {
				socket.destroy();
			}
		});
	}

	private async answer(socket: Socket, {method, params}: Request): Promise<void> {
		const call = {
			from: this.self, callId: '', timeoutMs: 0, signal: new AbortController().signal,
		};
		let reply: Reply;
		try {
			reply = {result: await this.handlers.get(method)?.(params, call)};
		} catch (error) {
			reply = {error: toWireError(error)};
		}

		socket.write(encodeFrame(JSON.stringify(reply)));
	}
}
