import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {type Disposable} from '../../base/disposable.js';
import {createUuid} from '../../base/create-uuid.js';
import {Deferred} from '../../base/deferred.js';
import {ErrorKind} from '../../base/error-kind.js';
import {fromWireError} from '../../base/from-wire-error.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {LogService} from '../log/log-service.js';
import {MetricsService} from '../metrics/metrics-service.js';
import {SettingsService} from '../settings/settings-service.js';
import {CallReceiver} from './call-receiver.js';
import {type PeerAddress} from './peer-address.js';
import {PeerConnection} from './peer-connection.js';
import {PeerLink, type LinkCall} from './peer-link.js';
import {type PeerMethod} from './peer-method.js';
import {startSilenceTimer} from './start-silence-timer.js';
import {type PeerCall, type PeerCallOptions, type PeerService} from './peer-service.js';

/** How much longer than its timeout a call waits for the peer's reply, which has the actual outcome. */
const replyGraceMs = 50;
/** The lateness of a duplicate is underestimated by up to the time that a hello may take, at either end of the connection. */
const latenessErrorFactor = 2;
const maxIdleMs = 60_000;
const cleanupIntervalMs = 10_000;

/** Calls between nodes over TCP: JSON-RPC in length-prefixed frames, with one connection to each peer in use. */
export class FramedPeerService implements PeerService, Disposable {
	private readonly connections = new Set<PeerConnection>();
	private readonly links = new Map<string, PeerLink>();
	private readonly receiver: CallReceiver;
	private readonly server = createServer(socket => {
		void this.accept(socket);
	});

	private port: number;
	private timer: NodeJS.Timeout | undefined;

	constructor(
		@SettingsService private readonly settingsService: SettingsService,
		@LogService private readonly log: LogService,
		@MetricsService private readonly metrics: MetricsService,
	) {
		this.port = settingsService.settings.peerPort;
		this.receiver = new CallReceiver(settingsService.settings.abandonAfterMs * latenessErrorFactor, metrics);
	}

	get self(): PeerAddress {
		const {settings, incarnation} = this.settingsService;
		return {
			nodeId: settings.nodeId, incarnation, address: settings.address, peerPort: this.port,
		};
	}

	async listen(): Promise<void> {
		this.server.listen(this.port, this.settingsService.settings.address);
		await once(this.server, 'listening');
		this.port = (this.server.address() as AddressInfo).port;
		this.timer = setInterval(() => {
			this.removeIdle();
		}, cleanupIntervalMs);
	}

	handle<P, R>(method: PeerMethod<P, R>, handler: (params: P, call: PeerCall) => Promise<R>): Disposable {
		return this.receiver.handle(method.name, async (params, call) => handler(params as P, call));
	}

	async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R> {
		const call: LinkCall = {
			id: `${method.name}/${options.callId ?? createUuid()}`,
			method: method.name,
			params,
			monotonicDeadlineMs: performance.now() + options.timeoutMs,
			sent: false,
			ended: false,
		};
		if (options.signal?.aborted) {
			throw createEndError(call, ErrorKind.CallerGone);
		}

		const isSelf = peer.incarnation === this.settingsService.incarnation;
		return await (isSelf ? this.callSelf(call, options) : this.callPeer(peer, call, options)) as R;
	}

	async close(): Promise<void> {
		this.server.close();
		await Promise.all([...this.connections].map(async connection => connection.retire()));
	}

	dispose(): void {
		this.server.close();
		this.receiver.dispose();
		clearInterval(this.timer);
		for (const connection of this.connections) {
			connection.dispose();
		}
	}

	private async callSelf(call: LinkCall, options: PeerCallOptions): Promise<unknown> {
		call.sent = true;
		const {self} = this;
		const outcome = await this.awaitOutcome(call, options, this.receiver.receive(call, options.timeoutMs, self), () => {
			this.receiver.cancel(call.id, self, call.monotonicDeadlineMs - performance.now());
		});
		if (outcome.error) {
			throw fromWireError(outcome.error);
		}

		return outcome.result;
	}

	private async callPeer(peer: PeerAddress, call: LinkCall, options: PeerCallOptions): Promise<unknown> {
		const link = this.linkTo(peer);
		return this.awaitOutcome(call, {...options, timeoutMs: options.timeoutMs + replyGraceMs}, link.call(call), () => {
			link.cancel(call);
		});
	}

	/** Waits for the outcome, but not after the call times out or is cancelled. */
	private async awaitOutcome<T>(call: LinkCall, {timeoutMs, signal}: PeerCallOptions, outcome: Promise<T>, cancel: () => void): Promise<T> {
		const ended = new Deferred<never>();
		const end = (kind: ErrorKind) => {
			call.ended = true;
			cancel();
			ended.reject(createEndError(call, kind));
		};

		const onAbort = () => {
			end(ErrorKind.CallerGone);
		};

		const timer = setTimeout(end, Math.max(0, timeoutMs), ErrorKind.DeadlineExceeded);
		signal?.addEventListener('abort', onAbort, {once: true});
		try {
			return await Promise.race([outcome, ended.promise]);
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', onAbort);
		}
	}

	/** Closes idle connections and removes the links to incarnations of peers that are not in use. */
	private removeIdle(): void {
		for (const connection of this.connections) {
			if (connection.idleMs > maxIdleMs) {
				connection.dispose();
			}
		}

		for (const [incarnation, link] of this.links) {
			if (!link.isInUse) {
				this.links.delete(incarnation);
			}
		}
	}

	private linkTo(peer: PeerAddress): PeerLink {
		const link = this.links.get(peer.incarnation) ?? new PeerLink(peer, async address => this.dial(address));
		this.links.set(peer.incarnation, link);
		return link;
	}

	private async dial(peer: PeerAddress): Promise<PeerConnection> {
		const socket = connect({host: peer.address, port: peer.peerPort});
		const connection = this.open(socket);
		const timer = startSilenceTimer(this.settingsService.settings.abandonAfterMs, () => {
			connection.dispose();
		});
		try {
			const {nodeId, incarnation} = await connection.peer;
			if (incarnation !== peer.incarnation) {
				connection.dispose();
				throw new KumquatlineError(ErrorKind.PeerChanged, `another incarnation replied: node ${nodeId} instead of the expected incarnation of node ${peer.nodeId}`, {started: false});
			}

			return connection;
		} finally {
			timer.dispose();
		}
	}

	private async accept(socket: Socket): Promise<void> {
		const connection = this.open(socket);
		try {
			const {nodeId, incarnation} = await connection.peer;
			this.links.get(incarnation)?.adopt(connection);
			this.log.debug('peer connected', {peer: nodeId});
		} catch {
			this.log.debug('a peer connection closed before its hello');
		}
	}

	private open(socket: Socket): PeerConnection {
		const {settings, incarnation} = this.settingsService;
		const connection = new PeerConnection(socket, {
			self: {nodeId: settings.nodeId, incarnation},
			server: this.receiver.server,
			log: this.log,
			metrics: this.metrics,
			probeAfterMs: settings.probeAfterMs,
			abandonAfterMs: settings.abandonAfterMs,
		});
		this.connections.add(connection);
		connection.onDidClose(() => {
			this.connections.delete(connection);
		});
		return connection;
	}
}

function createEndError(call: LinkCall, kind: ErrorKind): KumquatlineError {
	const reason = kind === ErrorKind.CallerGone ? 'the call was cancelled' : 'the call timed out';
	return new KumquatlineError(kind, reason, call.sent ? {} : {started: false});
}
