import {setTimeout as sleep} from 'node:timers/promises';
import {Emitter} from '../../../base/emitter.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {ErrorKind} from '../../../base/error-kind.js';
import {HeaderNames} from '../../../runtime/http/header-names.js';
import {Kernel} from '../../../runtime/kernel/kernel.js';
import {LogService} from '../../../runtime/log/log-service.js';
import {MetricsService} from '../../../runtime/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../../runtime/metrics/statsd-metrics-service.js';
import {silentLog, testSettings} from '../../../runtime/peer/test/peer-fixture.js';
import {FixedSettingsService} from '../../../runtime/settings/fixed-settings-service.js';
import {RelaySettingsService} from '../../../runtime/settings/relay-settings-service.js';
import {SettingsService} from '../../../runtime/settings/settings-service.js';
import {testHeaderNames} from '../../exchange/test/raw-backend.js';
import {type Policy} from '../../policy/policy.js';
import {PolicyService} from '../../policy/policy-service.js';
import {type EnteredRequest, RelayService} from '../../relay/relay-service.js';
import {RunningRequests} from '../../relay/running-requests.js';
import {HttpOutboundService} from '../http-outbound-service.js';
import {OutboundService} from '../outbound-service.js';

type Teardown = {
	teardown(release: () => void): void;
};

/** A request that was passed on. */
export type PassedRequest = Pick<EnteredRequest, 'requestId' | 'method' | 'target'> & {readonly bodyBytes: number};

/** Starts the server for callers with a relay that executes everything at once; the answer names the request. */
export async function openOutbound(t: Teardown, limits: Policy['limits'], executionMs: number) {
	const passed: PassedRequest[] = [];
	const policies = new Emitter<Policy>();
	const kernel = new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(testSettings('node')))
		.registerInstance(RelaySettingsService, {relay: {outboundHost: '127.0.0.1', outboundPort: 0, service: 'desk'}} as unknown as RelaySettingsService)
		.registerInstance(PolicyService, {onDidChange: policies.event} as unknown as PolicyService)
		.registerInstance(RunningRequests, {parentPriority: () => undefined} as unknown as RunningRequests)
		.registerInstance(HeaderNames, testHeaderNames)
		.registerInstance(LogService, silentLog)
		.register(MetricsService, StatsdMetricsService)
		.registerInstance(RelayService, {
			async relay({requestId, method, target, body}: EnteredRequest, signal: AbortSignal) {
				if (signal.aborted) {
					throw new KumquatlineError(ErrorKind.CallerGone, 'the caller is gone', {started: false});
				}

				passed.push({
					requestId, method, target, bodyBytes: body?.length ?? 0,
				});
				await sleep(executionMs);
				return {status: 200, headers: [], body: new TextEncoder().encode(`ran ${requestId}`)};
			},
		} as unknown as RelayService)
		.register(OutboundService, HttpOutboundService);
	const outbound = kernel.get(OutboundService);
	t.teardown(() => {
		kernel.dispose();
	});
	await outbound.listen();
	policies.fire({
		version: 1, limits, routes: [{
			name: 'book', host: 'a.example', prefix: '/', idempotent: false, timeoutMs: 5000, objectiveMs: 1000, priority: 0, maxUpstreams: 1, targets: [{service: 'desk', weight: 1}],
		}],
	} as unknown as Policy);
	return {port: outbound.port, passed};
}
