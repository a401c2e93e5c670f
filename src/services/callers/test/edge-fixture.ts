import {once} from 'node:events';
import {createServer, type RequestListener} from 'node:http';
import {type AddressInfo} from 'node:net';
import {Emitter} from '../../../base/emitter.js';
import {Kernel} from '../../../runtime/kernel/kernel.js';
import {LogService} from '../../../runtime/log/log-service.js';
import {MetricsService} from '../../../runtime/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../../runtime/metrics/statsd-metrics-service.js';
import {testSettings} from '../../../runtime/peer/test/peer-fixture.js';
import {FixedSettingsService} from '../../../runtime/settings/fixed-settings-service.js';
import {SettingsService} from '../../../runtime/settings/settings-service.js';
import {BackendService} from '../../backend/backend-service.js';
import {LoopbackBackendService} from '../../backend/loopback-backend-service.js';
import {CallService} from '../../calls/call-service.js';
import {type CallRequest} from '../../calls/call-request.js';
import {type Member} from '../../membership/member.js';
import {MembershipService} from '../../membership/membership-service.js';
import {OwnershipService} from '../../ownership/ownership-service.js';
import {policyDocument} from '../../policy/policy-document.js';
import {PolicyService} from '../../policy/policy-service.js';
import {RetryService} from '../../retries/retry-service.js';
import {PolicyRoutingService} from '../../routing/policy-routing-service.js';
import {RoutingService} from '../../routing/routing-service.js';
import {CallerService} from '../caller-service.js';
import {HttpCallerService} from '../http-caller-service.js';
import {StatusService} from '../status-service.js';

const noop = () => undefined;
const slots = 4;

export const testPolicy = policyDocument.parse({
	version: 1,
	services: [{name: 'hire-desk'}],
	operations: [
		{
			name: 'read-stock', method: 'GET', path: '/stock/:panel', service: 'hire-desk', importance: 'sheddable', idempotent: true, timeoutMs: 2000,
		},
		{
			name: 'book', method: 'POST', path: '/bookings', service: 'hire-desk', importance: 'critical', idempotent: false, timeoutMs: 5000,
		},
	],
	callers: [{name: 'foreman', patienceMs: 3000, retryTotal: 2}, {name: 'truck', patienceMs: 1000, retryTotal: 0}],
	maxBodyBytes: 1000,
	maxAnswerBytes: 2000,
});

/** Executes each call on the node's own backend server and records it. */
class LocalCallService implements CallService {
	readonly requests: CallRequest[] = [];

	constructor(@BackendService private readonly backend: BackendService) {
		backend.setCallHandler(async (request, signal) => this.call(request, signal));
	}

	async call(request: CallRequest, signal: AbortSignal) {
		this.requests.push(request);
		return this.backend.invoke(request, {innerCallStarted: noop, innerCallEnded: noop}, signal);
	}
}

/** Starts one node's HTTP servers for callers and for its backend server, together with a backend server. */
export async function startEdge(t: {teardown(release: () => void): void}, listener: (...exchange: Parameters<RequestListener>) => void | Promise<void>, policy = testPolicy) {
	const log: Array<Readonly<Record<string, unknown>>> = [];
	const kernel = new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(testSettings('edge'), 'incarnation'))
		.registerInstance(LogService, {
			debug: (message, fields) => log.push({message, ...fields}), info: noop, warn: noop, error: noop,
		})
		.register(MetricsService, StatsdMetricsService)
		.registerInstance(PolicyService, {current: policy, version: 1, onDidChange: new Emitter().event} as unknown as PolicyService)
		.registerInstance(MembershipService, {members: [] as Member[], onDidChange: new Emitter().event} as unknown as MembershipService)
		.register(RoutingService, PolicyRoutingService)
		.registerInstance(RetryService, {recordCall: noop, grant: async () => true, admitAttempt: async () => true})
		.registerInstance(OwnershipService, {reserve: (count: number) => Array.from({length: count}, (_, index) => `id-${index}`)} as unknown as OwnershipService)
		.registerInstance(StatusService, {report: () => ({policyVersion: 1})})
		.register(BackendService, LoopbackBackendService)
		.register(CallService, LocalCallService)
		.register(CallerService, HttpCallerService);
	const callers = kernel.get(CallerService);
	const backend = kernel.get(BackendService);
	await callers.listen();
	await backend.listen();
	const server = createServer(listener);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const backendUrl = `http://127.0.0.1:${backend.port}`;
	await fetch(`${backendUrl}/announce`, {
		method: 'POST', body: JSON.stringify({
			service: 'hire-desk', port, slots, connections: slots, state: 'serving',
		}),
	});
	t.teardown(() => {
		kernel.dispose();
		server.close();
		server.closeAllConnections();
	});
	return {
		kernel,
		log,
		backend,
		backendUrl,
		callers,
		metrics: kernel.get(MetricsService),
		requests: (kernel.get(CallService) as LocalCallService).requests,
		callerUrl: `http://127.0.0.1:${callers.port}`,
	};
}
