import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo, Server} from 'node:net';
import {type Duplex} from 'node:stream';
import {setTimeout as delay} from 'node:timers/promises';
import createRouter from 'find-my-way';
import {z} from 'zod';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {Waiter} from '../../base/waiter.js';
import {toWireError} from '../../base/to-wire-error.js';
import {LogService} from '../../runtime/log/log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {BackendService} from '../backend/backend-service.js';
import {CallService} from '../calls/call-service.js';
import {type CallRequest} from '../calls/call-request.js';
import {OwnershipService} from '../ownership/ownership-service.js';
import {OperatorRoutes} from '../policy/operator-routes.js';
import {PolicyService} from '../policy/policy-service.js';
import {RetryService} from '../retries/retry-service.js';
import {RoutingService} from '../routing/routing-service.js';
import {readBody} from '../../runtime/http/read-body.js';
import {writeAnswer} from '../calls/write-answer.js';
import {writeJson} from '../../runtime/http/write-json.js';
import {writeProblem} from '../../runtime/http/write-problem.js';
import {answerMalformed} from './answer-malformed.js';
import {CallerHeader} from './caller-header.js';
import {type CallerService} from './caller-service.js';
import {RequestBuilder, type RequestId} from './request-builder.js';
import {StatusService} from './status-service.js';

const idsRequest = z.strictObject({count: z.number().int().min(1).max(1000)});
const maxControlBodyBytes = 1024;
/** Time for which a leaving node still answers new requests with `draining`, before idle connections are closed. */
const leavingNoticeMs = 300;
const requestTimeoutMs = 30_000;
/** Time after which a closing service looks again whether all answers have left. */
const maxAnswerWaitMs = 1000;
/** Longer than most clients keep idle connections, so that the client closes them and not the node. */
const keepAliveTimeoutMs = 75_000;
const unknownTag = 'unknown';

type EndedRequest = {
	readonly id: RequestId | undefined;
	readonly call: CallRequest | undefined;
	readonly enteredAtMs: number;
	readonly outcome: string;
};

/** HTTP/1.1 server for callers and operators; sends no part of an answer before it is complete. */
export class HttpCallerService implements CallerService, Disposable {
	private readonly router = createRouter({
		defaultRoute: (request, response) => {
			void this.serve(request, response);
		},
	});

	private readonly server = createServer({requestTimeout: requestTimeoutMs, keepAliveTimeout: keepAliveTimeoutMs}, (request, response) => {
		this.trackAnswer(response);
		this.router.lookup(request, response);
	});

	/** Connections with a running request. */
	private readonly running = new WeakSet<Duplex>();
	/** Answers that have not left the process yet. */
	private readonly openAnswers = new Set<ServerResponse>();
	private readonly answerSent = new Waiter();
	private readonly requests: RequestBuilder;
	private readonly disposal = new AbortController();
	private draining = false;

	constructor(
		@SettingsService private readonly settingsService: SettingsService,
		@LogService private readonly log: LogService,
		@MetricsService private readonly metrics: MetricsService,
		@PolicyService private readonly policyService: PolicyService,
		@RoutingService private readonly routing: RoutingService,
		@RetryService private readonly retries: RetryService,
		@OwnershipService private readonly ownership: OwnershipService,
		@CallService private readonly calls: CallService,
		@StatusService private readonly status: StatusService,
		@BackendService backend: BackendService,
	) {
		this.requests = new RequestBuilder(settingsService);
		backend.setRequestHandler(async (request, response) => this.serve(request, response));
		new OperatorRoutes(policyService).register(this.router);
		this.server.on('clientError', (_error, socket) => {
			answerMalformed(socket, this.running.has(socket));
		});
		this.router.on('GET', '/kumquatline/status', (_request, response) => {
			writeJson(response, this.status.report());
		});
		this.router.on('POST', '/kumquatline/ids', (request, response) => {
			void this.reserveIds(request, response);
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo | undefined)?.port ?? this.settingsService.settings.callerPort;
	}

	async listen(): Promise<void> {
		const {callerPort, address} = this.settingsService.settings;
		this.server.listen(callerPort, address);
		await once(this.server, 'listening');
	}

	async close(): Promise<void> {
		this.draining = true;
		await delay(leavingNoticeMs);
		const closed = once(this.server, 'close');
		// The HTTP server's own `close` also destroys connections whose answers are still being sent.
		Server.prototype.close.call(this.server);
		while (this.openAnswers.size > 0 && !this.disposal.signal.aborted) {
			await this.answerSent.wait(maxAnswerWaitMs, this.disposal.signal);
		}

		this.server.closeIdleConnections();
		await closed;
	}

	dispose(): void {
		this.disposal.abort();
		this.server.close();
		this.server.closeAllConnections();
	}

	private trackAnswer(response: ServerResponse): void {
		this.openAnswers.add(response);
		const {socket} = response.req;
		const onClose = () => {
			response.off('close', onClose);
			socket.off('close', onClose);
			this.openAnswers.delete(response);
			this.answerSent.wake();
		};

		response.once('close', onClose);
		// The responses of pipelined requests that wait for their turn have no connection and never emit `close`.
		socket.once('close', onClose);
	}

	/** Answers one request of a caller. */
	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const enteredAtMs = Date.now();
		let id: RequestId | undefined;
		let call: CallRequest | undefined;
		try {
			id = this.requests.readId(request);
			response.setHeader(CallerHeader.RequestId, id.requestId);
			call = await this.readCall(request, id, enteredAtMs);
			const answer = await this.run(call, id, response);
			this.closeConnectionIfNeeded(response);
			writeAnswer(response, answer);
			this.recordRequest({
				id, call, enteredAtMs, outcome: 'answered',
			});
		} catch (error) {
			this.writeError(response, error, id);
			this.recordRequest({
				id, call, enteredAtMs, outcome: toWireError(error).kind,
			});
		}
	}

	private async readCall(request: IncomingMessage, id: RequestId, enteredAtMs: number): Promise<CallRequest> {
		if (this.draining) {
			throw new KumquatlineError(ErrorKind.Draining, 'the node is leaving', {started: false});
		}

		const operation = this.routing.match(request.method!, request.url!);
		if (!operation) {
			throw new KumquatlineError(ErrorKind.RouteUnknown, 'no operation has this method and path', {started: false});
		}

		const call = await this.requests.build(request, id, operation, this.policyService.current, enteredAtMs);
		if (Date.now() >= call.context.deadlineAtMs) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed while the request was being read', {started: false});
		}

		this.routing.refuseEarly(operation, call.context);
		return call;
	}

	private async run(call: CallRequest, id: RequestId, response: ServerResponse) {
		const controller = new AbortController();
		const onClose = () => {
			controller.abort();
		};

		const {socket} = response.req;
		response.once('close', onClose);
		this.running.add(socket);
		try {
			await this.checkRetryTotal(call, id, controller.signal);
			return await this.calls.call(call, controller.signal);
		} finally {
			response.off('close', onClose);
			this.running.delete(socket);
		}
	}

	/** An idempotent request with an idempotency key may be a retry by the caller and is counted against the retry total. */
	private async checkRetryTotal(call: CallRequest, id: RequestId, signal: AbortSignal): Promise<void> {
		if (id.minted || !call.idempotent) {
			return;
		}

		if (!await this.retries.admitAttempt(call.context, signal)) {
			throw new KumquatlineError(ErrorKind.RetryDenied, 'the retry total of the request is used up', {started: false});
		}
	}

	private async reserveIds(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBody(request, maxControlBodyBytes);
			const {count} = parseIdCount(new TextDecoder().decode(body));
			writeJson(response, {ids: this.ownership.reserve(count)});
		} catch (error) {
			this.writeError(response, error);
		}
	}

	private writeError(response: ServerResponse, error: unknown, id?: RequestId): void {
		const {kind, message} = toWireError(error);
		if (kind === ErrorKind.Internal) {
			this.log.error('request failed with an internal error', {reason: message});
		}

		if (response.destroyed || response.headersSent) {
			response.destroy();
			return;
		}

		this.closeConnectionIfNeeded(response);
		writeProblem(response, error, id);
	}

	/** Closes the connection after the answer if the node is leaving or the request was not read completely. */
	private closeConnectionIfNeeded(response: ServerResponse): void {
		if (this.draining || !response.req.complete) {
			response.setHeader('connection', 'close');
		}
	}

	private recordRequest({id, call, enteredAtMs, outcome}: EndedRequest): void {
		const latencyMs = Date.now() - enteredAtMs;
		const tags = {caller: call?.context.caller ?? unknownTag, operation: call?.operation ?? unknownTag};
		this.metrics.count('requests', {...tags, outcome});
		this.metrics.record('request_latency', latencyMs, tags);
		this.log.debug('request ended', {
			...tags, outcome, latencyMs, requestId: id?.requestId,
		});
	}
}

function parseIdCount(text: string): z.infer<typeof idsRequest> {
	try {
		return idsRequest.parse(JSON.parse(text));
	} catch (error) {
		throw new KumquatlineError(ErrorKind.BadRequest, 'the body must be {"count": N} with N from 1 to 1000', {started: false, cause: error});
	}
}
