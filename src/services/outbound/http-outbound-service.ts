import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, Server} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {HeaderNames} from '../../runtime/http/header-names.js';
import {readBody} from '../../runtime/http/read-body.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {findHeader} from '../../runtime/http/find-header.js';
import {isBodyless} from '../../runtime/http/is-bodyless.js';
import {keepEndToEnd} from '../../runtime/http/keep-end-to-end.js';
import {type Policy} from '../policy/policy.js';
import {PolicyService} from '../policy/policy-service.js';
import {type RelayAnswer} from '../relay/relay-answer.js';
import {type EnteredRequest, RelayService} from '../relay/relay-service.js';
import {RunningRequests} from '../relay/running-requests.js';
import {RouteTable} from '../routes/route-table.js';
import {BodyBudget} from '../../runtime/http/body-budget.js';
import {type BodyReservation} from '../../runtime/http/body-reservation.js';
import {type OutboundService} from './outbound-service.js';
import {type CallerConnection} from './caller-connection.js';
import {CallerConnections} from './caller-connections.js';
import {EarlierAttemptDetector} from './earlier-attempt-detector.js';
import {toFailure} from './to-failure.js';
import {statusOf, writeFailure} from './write-failure.js';

/** Maximum size of a request head until a policy sets one. */
const initialMaxHeaderBytes = 16_384;
/** Byte budget for all request bodies together: the size of the largest one allowed, as each body is in memory several times while it is processed. */
const maxHeldBytes = 67_108_864;
/** Time after which a caller may retry at a node that has no policy yet. */
const noPolicyRetryMs = 500;
/** Time after which a caller may retry at another node while this one stops. */
const stoppingRetryMs = 50;
/** Accepts requests over HTTP/1.1 and sends complete answers, in the order of requests on a connection. */
export class HttpOutboundService implements OutboundService, Disposable {
	private readonly disposables = new DisposableStore();
	private readonly replacedHeaders: ReadonlySet<string>;
	private readonly server = createServer({
		// The server counts its timeout for a head from the opening of the connection; `CallerConnections` checks heads instead.
		headersTimeout: 0, maxHeaderSize: initialMaxHeaderBytes, requestTimeout: 0, noDelay: true,
	}, (request, response) => {
		void this.handle(request, response);
	});

	private readonly connections = this.disposables.add(new CallerConnections(this.server));
	private readonly earlierAttempts = new EarlierAttemptDetector();
	private readonly bodyBudget = new BodyBudget(maxHeldBytes);
	private table: RouteTable | undefined;
	private maxBodyBytes = Number.POSITIVE_INFINITY;
	private isDraining = false;
	private refusesRoots = false;
	private isAbandoning = false;

	constructor(
		@RelaySettingsService private readonly settings: RelaySettingsService,
		@PolicyService policies: PolicyService,
		@RelayService private readonly relay: RelayService,
		@RunningRequests private readonly runningRequests: RunningRequests,
		@HeaderNames private readonly names: HeaderNames,
		@MetricsService private readonly metrics: MetricsService,
		@LogService private readonly log: LogService,
	) {
		this.replacedHeaders = new Set([names.caller, names.deadlineMs, names.expectedInstance]);
		this.disposables.add(policies.onDidChange(policy => {
			this.applyPolicy(policy);
		}));
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		const {outboundHost, outboundPort} = this.settings.relay;
		this.server.listen({host: outboundHost, port: outboundPort, backlog: 1024});
		await once(this.server, 'listening');
	}

	drain(): void {
		this.isDraining = true;
	}

	refuseRoots(): void {
		this.refusesRoots = true;
	}

	async close(): Promise<void> {
		this.isDraining = true;
		this.refusesRoots = true;
		// The HTTP server's own `close` also destroys connections whose answers are still being sent.
		Server.prototype.close.call(this.server);
		this.connections.closeIdle();
		return this.connections.whenIdle();
	}

	async abandon(): Promise<void> {
		this.isAbandoning = true;
		this.connections.abortRequests();
		return this.connections.whenIdle();
	}

	dispose(): void {
		this.disposables.dispose();
		this.server.close();
		this.server.closeAllConnections();
	}

	/** All routes change at once; a request keeps the route that it matched when it arrived. */
	private applyPolicy({version, routes = [], limits}: Policy): void {
		this.table = new RouteTable(version, routes);
		if (limits) {
			this.maxBodyBytes = limits.maxBodyBytes;
			this.connections.timeouts = limits;
			this.server.keepAliveTimeout = limits.idleTimeoutMs;
			// The server reads this property at each new connection.
			(this.server as unknown as {maxHeaderSize: number}).maxHeaderSize = limits.maxHeaderBytes;
		}
	}

	private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const enteredAtMs = performance.now();
		const abortController = new AbortController();
		const {socket} = message;
		const connection = this.connections.get(socket);
		if (!connection || connection.isClosing) {
			// The answer that closes the connection tells the caller that this request was not read.
			message.resume();
			return;
		}

		connection.beginRequest(abortController);
		response.once('close', () => {
			if (!response.writableFinished) {
				abortController.abort();
			}

			this.connections.endRequest(connection, abortController);
		});
		const bodyReservation = this.bodyBudget.createReservation();
		try {
			const entered = await this.readRequest(message, enteredAtMs, bodyReservation);
			await this.checkCallerConnected(connection, message);
			const answer = await this.relay.relay(entered, abortController.signal);
			this.decideClose(connection, abortController, response);
			this.write(response, message.method!, answer);
			this.recordAnswer(entered, answer.status, enteredAtMs);
		} catch (error) {
			this.decideClose(connection, abortController, response, message.complete);
			this.answerFailure(message, response, error, enteredAtMs);
		} finally {
			bodyReservation.dispose();
		}
	}

	/**
	Throws `caller-gone` for the first request of a connection that its caller has already closed: under load, connections wait to be
	accepted, one in each turn of the event loop, and the end of a connection is read one turn after its request.
	*/
	private async checkCallerConnected(connection: CallerConnection, {socket}: IncomingMessage): Promise<void> {
		if (connection.hasCheckedCaller) {
			return;
		}

		connection.hasCheckedCaller = true;
		await nextTurn();
		await nextTurn();
		if (socket.destroyed || socket.readableEnded) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'the caller disconnected before its request was processed', {started: false});
		}
	}

	private async readRequest(message: IncomingMessage, enteredAtMs: number, bodyReservation: BodyReservation): Promise<EnteredRequest> {
		const {table} = this;
		if (!table) {
			throw new KumquatlineError(ErrorKind.PolicyUnknown, 'the node has not received a policy yet', {started: false, retryAfterMs: noPolicyRetryMs});
		}

		const requestId = findHeader(message.rawHeaders, this.names.requestId);
		if (requestId === undefined) {
			throw new KumquatlineError(ErrorKind.BadRequest, 'the request has no request id header', {started: false});
		}

		const matched = table.match(message.headers.host ?? '', message.url!);
		if (!matched) {
			throw new KumquatlineError(ErrorKind.RouteUnknown, `no route of policy version ${table.version} matches host ${message.headers.host} and path ${message.url}`, {started: false});
		}

		const parentPriority = this.runningRequests.parentPriority(requestId);
		if (this.refusesRoots && parentPriority === undefined) {
			throw new KumquatlineError(ErrorKind.Draining, 'the node is stopping', {started: false, retryAfterMs: stoppingRetryMs});
		}

		const patienceMs = Number(findHeader(message.rawHeaders, this.names.deadlineMs) ?? Number.NaN);
		const timeoutMs = patienceMs >= 0 ? Math.min(patienceMs, matched.timeoutMs) : matched.timeoutMs;
		const monotonicDeadlineMs = enteredAtMs + timeoutMs;
		const body = await this.readBody(message, monotonicDeadlineMs, bodyReservation);
		return {
			requestId,
			matched,
			monotonicDeadlineMs,
			method: message.method!,
			target: message.url!,
			headers: [...keepEndToEnd(message.rawHeaders, this.replacedHeaders), this.names.caller, this.settings.relay.service],
			parentPriority,
			hasWaited: parentPriority === undefined && this.earlierAttempts.hasWaited(matched.name, patienceMs),
			body,
		};
	}

	private async readBody(message: IncomingMessage, monotonicDeadlineMs: number, bodyReservation: BodyReservation): Promise<Uint8Array | undefined> {
		if (message.headers['content-length'] === undefined && message.headers['transfer-encoding'] === undefined) {
			message.resume();
			return undefined;
		}

		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(new KumquatlineError(ErrorKind.RequestTimeout, 'the request body did not arrive before the deadline', {started: false}));
			}, Math.max(0, monotonicDeadlineMs - performance.now()));
		});
		try {
			const body = await Promise.race([readBody(message, this.maxBodyBytes, bytes => {
				bodyReservation.reserve(bytes);
			}), timeout]);
			return body.length === 0 ? undefined : body;
		} finally {
			clearTimeout(timer);
		}
	}

	private write(response: ServerResponse, method: string, {status, headers, body}: RelayAnswer): void {
		if (response.destroyed) {
			return;
		}

		const framedHeaders = [...headers];
		if (!isBodyless(status) && method !== 'HEAD') {
			framedHeaders.push('content-length', String(body.length));
		}

		response.sendDate = false;
		response.writeHead(status, framedHeaders);
		response.end(body);
	}

	/** Decides whether an answer closes its connection. A stopping node closes it with the last answer, so that pipelined requests are answered too. */
	private decideClose(connection: CallerConnection, request: AbortController, response: ServerResponse, isRequestComplete = true): void {
		if (!isRequestComplete || (this.isDraining && connection.isLastRequest(request))) {
			response.shouldKeepAlive = false;
		}

		if (!response.shouldKeepAlive) {
			connection.isClosing = true;
		}
	}

	private recordAnswer({requestId, matched}: EnteredRequest, status: number, enteredAtMs: number): void {
		const elapsedMs = performance.now() - enteredAtMs;
		this.metrics.record('request', elapsedMs, {route: matched.name});
		this.log.debug('answered', {id: requestId, status, elapsedMs: Math.round(elapsedMs)});
	}

	private answerFailure(message: IncomingMessage, response: ServerResponse, error: unknown, enteredAtMs: number): void {
		const failure = toFailure(error, this.isAbandoning);
		const status = statusOf(failure);
		this.metrics.count('requests.failed', {kind: failure.kind});
		this.log.info('failed', {
			id: findHeader(message.rawHeaders, this.names.requestId),
			status,
			kind: failure.kind,
			reason: failure.message,
			cause: failure.kind === ErrorKind.Internal ? String(error) : undefined,
			version: this.table?.version,
			retryAfterMs: failure.retryAfterMs,
			elapsedMs: Math.round(performance.now() - enteredAtMs),
		});
		if (response.destroyed) {
			return;
		}

		writeFailure(response, failure);
	}
}
