import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {MetricsService} from '../../platform/metrics/metrics-service.js';
import {SettingsService} from '../../platform/settings/settings-service.js';
import {type OwnTime} from '../admission/admission-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type BackendAnnouncement} from '../membership/backend-announcement.js';
import {PolicyService} from '../policy/policy-service.js';
import {RoutingService} from '../routing/routing-service.js';
import {readBody} from '../callers/read-body.js';
import {writeAnswer} from '../callers/write-answer.js';
import {writeJson} from '../callers/write-json.js';
import {writeProblem} from '../callers/write-problem.js';
import {AnnouncementBoard} from './announcement-board.js';
import {BackendClient} from './backend-client.js';
import {BackendHeader} from './backend-header.js';
import {type BackendService} from './backend-service.js';
import {RunningCall} from './running-call.js';
import {toSubCall} from './to-sub-call.js';

type CallHandler = (request: CallRequest, signal: AbortSignal) => Promise<CallAnswer>;
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

const loopbackAddress = '127.0.0.1';
const announcePath = '/announce';
const maxAnnouncementBytes = 4096;
const tokenBytes = 18;

/** HTTP on loopback with the VM's own backend server, in both directions. */
export class LoopbackBackendService implements BackendService, Disposable {
	private readonly board = new AnnouncementBoard();
	private readonly running = new Map<string, RunningCall>();
	private readonly server = createServer((request, response) => {
		void this.serve(request, response);
	});

	private client: BackendClient | undefined;
	private callHandler: CallHandler = refuseCall;
	private requestHandler: RequestHandler = refuseRequest;

	constructor(
		@SettingsService private readonly settingsService: SettingsService,
		@MetricsService private readonly metrics: MetricsService,
		@PolicyService private readonly policyService: PolicyService,
		@RoutingService private readonly routing: RoutingService,
	) {
		this.board.onDidChange(announcement => {
			this.follow(announcement);
		});
	}

	get announcement(): BackendAnnouncement | undefined {
		return this.board.current;
	}

	get onDidAnnounce(): Event<BackendAnnouncement | undefined> {
		return this.board.onDidChange;
	}

	get port(): number {
		return (this.server.address() as AddressInfo | undefined)?.port ?? this.settingsService.settings.backendPort;
	}

	setCallHandler(handler: CallHandler): void {
		this.callHandler = handler;
	}

	setRequestHandler(handler: RequestHandler): void {
		this.requestHandler = handler;
	}

	async listen(): Promise<void> {
		this.server.listen(this.settingsService.settings.backendPort, loopbackAddress);
		await once(this.server, 'listening');
	}

	async invoke(request: CallRequest, ownTime: OwnTime, signal: AbortSignal): Promise<CallAnswer> {
		const {operation, context: {caller}} = request;
		try {
			const answer = await this.run(request, ownTime, signal);
			this.metrics.count('executions', {caller, operation, outcome: 'answered'});
			return answer;
		} catch (error) {
			this.metrics.count('executions', {caller, operation, outcome: toWireError(error).kind});
			throw error;
		}
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
		this.board.dispose();
		this.client?.dispose();
		for (const call of this.running.values()) {
			call.end();
		}
	}

	private async run(request: CallRequest, ownTime: OwnTime, signal: AbortSignal): Promise<CallAnswer> {
		const {client} = this;
		if (!client) {
			throw new KumquatlineError(ErrorKind.BackendUnreachable, 'no backend server has announced itself', {started: false});
		}

		const remainingMs = request.context.deadlineAtMs - Date.now();
		if (remainingMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the start', {started: false});
		}

		if (signal.aborted) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'the caller left before the start', {started: false});
		}

		return this.send(client, new RunningCall(request, ownTime), remainingMs, signal);
	}

	private async send(client: BackendClient, call: RunningCall, remainingMs: number, signal: AbortSignal): Promise<CallAnswer> {
		const token = randomBytes(tokenBytes).toString('base64url');
		const leave = () => {
			call.endEarly(ErrorKind.CallerGone);
		};

		const timer = setTimeout(() => {
			call.endEarly(ErrorKind.DeadlineExceeded);
		}, remainingMs);
		signal.addEventListener('abort', leave, {once: true});
		this.running.set(token, call);
		try {
			return await client.send(call.request, {
				[BackendHeader.Context]: token,
				[BackendHeader.DeadlineMs]: String(remainingMs),
				[BackendHeader.RequestId]: call.request.requestId,
			}, this.policyService.current.maxAnswerBytes, call.signal);
		} catch (error) {
			throw call.endedBy ? new KumquatlineError(call.endedBy, 'the call ended while the backend server ran it', {cause: error}) : error;
		} finally {
			this.running.delete(token);
			call.end();
			clearTimeout(timer);
			signal.removeEventListener('abort', leave);
		}
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const token = request.headers[BackendHeader.Context];
		if (request.method === 'POST' && request.url === announcePath) {
			await this.takeAnnouncement(request, response);
			return;
		}

		await (token === undefined ? this.requestHandler(request, response) : this.serveSubCall(request, response, String(token)));
	}

	private async takeAnnouncement(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBody(request, maxAnnouncementBytes);
			this.board.post(new TextDecoder().decode(body));
			writeJson(response, {});
		} catch (error) {
			writeProblem(response, error);
		}
	}

	private async serveSubCall(request: IncomingMessage, response: ServerResponse, token: string): Promise<void> {
		const parent = this.running.get(token);
		if (!parent) {
			writeProblem(response, new KumquatlineError(ErrorKind.ContextUnknown, 'the context header belongs to no running call', {started: false}));
			return;
		}

		parent.ownTime.subCallBegan();
		try {
			writeAnswer(response, await this.runSubCall(parent, request, response));
		} catch (error) {
			this.failSubCall(response, error);
		} finally {
			parent.ownTime.subCallEnded();
		}
	}

	private async runSubCall(parent: RunningCall, request: IncomingMessage, response: ServerResponse): Promise<CallAnswer> {
		const operation = this.routing.match(request.method!, request.url!);
		if (!operation) {
			throw new KumquatlineError(ErrorKind.RouteUnknown, 'no operation has this method and path', {started: false});
		}

		const body = await readBody(request, this.policyService.current.maxBodyBytes);
		const call = toSubCall(parent, operation, request, body);
		const controller = new AbortController();
		const leave = () => {
			controller.abort();
		};

		response.once('close', leave);
		parent.signal.addEventListener('abort', leave, {once: true});
		try {
			if (parent.signal.aborted) {
				throw new KumquatlineError(ErrorKind.CallerGone, 'the parent call has ended', {started: false});
			}

			return await this.callHandler(call, controller.signal);
		} finally {
			response.off('close', leave);
			parent.signal.removeEventListener('abort', leave);
		}
	}

	private failSubCall(response: ServerResponse, error: unknown): void {
		if (response.destroyed || response.headersSent) {
			response.destroy();
			return;
		}

		writeProblem(response, error, {minted: false});
	}

	private follow(announcement: BackendAnnouncement | undefined): void {
		if (announcement?.port === this.client?.port) {
			return;
		}

		this.client?.dispose();
		this.client = announcement && new BackendClient(announcement);
	}
}

async function refuseCall(): Promise<never> {
	throw new KumquatlineError(ErrorKind.Internal, 'no handler for sub-calls is set', {started: false});
}

async function refuseRequest(_request: IncomingMessage, response: ServerResponse): Promise<void> {
	writeProblem(response, new KumquatlineError(ErrorKind.Internal, 'no handler for requests is set', {started: false}));
}
