import {randomUUID} from 'node:crypto';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Disposable} from '../../base/disposable.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {toWireError} from '../../base/to-wire-error.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {type SelfTimeTracker} from '../admission/admission-service.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type BackendAnnouncement} from '../membership/backend-announcement.js';
import {PolicyService} from '../policy/policy-service.js';
import {RoutingService} from '../routing/routing-service.js';
import {readBody} from '../../runtime/http/read-body.js';
import {writeJson} from '../../runtime/http/write-json.js';
import {writeProblem} from '../../runtime/http/write-problem.js';
import {AnnouncementTracker} from './announcement-tracker.js';
import {BackendClient} from './backend-client.js';
import {BackendHeader} from './backend-header.js';
import {type BackendService} from './backend-service.js';
import {RunningCall} from './running-call.js';
import {InnerCallServer} from './inner-call-server.js';

type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

const loopbackAddress = '127.0.0.1';
const announcePath = '/announce';
const maxAnnouncementBytes = 4096;

/** Communicates with the VM's own backend server over HTTP on loopback, in both directions. */
export class LoopbackBackendService implements BackendService, Disposable {
	private readonly announcementTracker = new AnnouncementTracker();
	private readonly running = new Map<string, RunningCall>();
	private readonly innerCallServer: InnerCallServer;
	private readonly server = createServer((request, response) => {
		void this.serve(request, response);
	});

	private client: BackendClient | undefined;
	private requestHandler: RequestHandler = refuseRequest;

	constructor(
		@SettingsService private readonly settingsService: SettingsService,
		@MetricsService private readonly metrics: MetricsService,
		@PolicyService private readonly policyService: PolicyService,
		@RoutingService routing: RoutingService,
	) {
		this.innerCallServer = new InnerCallServer(routing, policyService);
		this.announcementTracker.onDidChange(announcement => {
			this.updateClient(announcement);
		});
	}

	get announcement(): BackendAnnouncement | undefined {
		return this.announcementTracker.current;
	}

	get onDidAnnounce(): Event<BackendAnnouncement | undefined> {
		return this.announcementTracker.onDidChange;
	}

	get port(): number {
		return (this.server.address() as AddressInfo | undefined)?.port ?? this.settingsService.settings.backendPort;
	}

	setCallHandler(handler: InnerCallServer['handler']): void {
		this.innerCallServer.handler = handler;
	}

	setRequestHandler(handler: RequestHandler): void {
		this.requestHandler = handler;
	}

	async listen(): Promise<void> {
		this.server.listen(this.settingsService.settings.backendPort, loopbackAddress);
		await once(this.server, 'listening');
	}

	async invoke(request: CallRequest, selfTime: SelfTimeTracker, signal: AbortSignal): Promise<CallAnswer> {
		const {operation, context: {caller}} = request;
		try {
			const answer = await this.run(request, selfTime, signal);
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
		this.announcementTracker.dispose();
		this.client?.dispose();
		for (const call of this.running.values()) {
			call.end();
		}
	}

	private async run(request: CallRequest, selfTime: SelfTimeTracker, signal: AbortSignal): Promise<CallAnswer> {
		const {client} = this;
		if (!client) {
			throw new KumquatlineError(ErrorKind.BackendUnreachable, 'no backend server has announced itself', {started: false});
		}

		const remainingMs = request.context.deadlineAtMs - Date.now();
		if (remainingMs <= 0) {
			throw new KumquatlineError(ErrorKind.DeadlineExceeded, 'the deadline passed before the execution started', {started: false});
		}

		if (signal.aborted) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'the caller disconnected before the execution started', {started: false});
		}

		return this.send(client, new RunningCall(request, selfTime), remainingMs, signal);
	}

	private async send(client: BackendClient, call: RunningCall, remainingMs: number, signal: AbortSignal): Promise<CallAnswer> {
		const token = randomUUID();
		const answer = client.send(call.request, token, this.policyService.current.maxAnswerBytes);
		const endEarly = (reason: ErrorKind.DeadlineExceeded | ErrorKind.CallerGone) => {
			call.end();
			answer.abandon(endedEarlyError(reason, answer.wasSent));
		};

		const onAbort = () => {
			const isLate = signal.reason instanceof KumquatlineError && signal.reason.kind === ErrorKind.DeadlineExceeded;
			endEarly(isLate ? ErrorKind.DeadlineExceeded : ErrorKind.CallerGone);
		};

		const timer = setTimeout(endEarly, remainingMs, ErrorKind.DeadlineExceeded);
		signal.addEventListener('abort', onAbort, {once: true});
		this.running.set(token, call);
		try {
			return await client.receive(answer);
		} finally {
			this.running.delete(token);
			call.end();
			clearTimeout(timer);
			signal.removeEventListener('abort', onAbort);
		}
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const token = request.headers[BackendHeader.Context];
		if (request.method === 'POST' && request.url === announcePath) {
			await this.handleAnnouncement(request, response);
			return;
		}

		await (token === undefined ? this.requestHandler(request, response) : this.innerCallServer.serve(this.running.get(String(token)), request, response));
	}

	private async handleAnnouncement(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBody(request, maxAnnouncementBytes);
			this.announcementTracker.update(new TextDecoder().decode(body));
			writeJson(response, {});
		} catch (error) {
			writeProblem(response, error);
		}
	}

	private updateClient(announcement: BackendAnnouncement | undefined): void {
		if (announcement?.port === this.client?.port) {
			return;
		}

		this.client?.dispose();
		this.client = announcement && new BackendClient(announcement);
	}
}

async function refuseRequest(_request: IncomingMessage, response: ServerResponse): Promise<void> {
	writeProblem(response, new KumquatlineError(ErrorKind.Internal, 'no handler for requests is set', {started: false}));
}

function endedEarlyError(kind: ErrorKind, wasSent: boolean): KumquatlineError {
	return new KumquatlineError(kind, 'the call ended before the backend server had answered', wasSent ? {} : {started: false});
}
