import {Kernel} from '../../runtime/kernel/kernel.js';
import {LogService} from '../../runtime/log/log-service.js';
import {PinoLogService} from '../../runtime/log/pino-log-service.js';
import {MetricsService} from '../../runtime/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../runtime/metrics/statsd-metrics-service.js';
import {FramedPeerService} from '../../runtime/peer/framed-peer-service.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {FixedSettingsService} from '../../runtime/settings/fixed-settings-service.js';
import {type NodeSettings} from '../../runtime/settings/node-settings.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {KvStoreService} from '../../platform/store/kv-store-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {AdmissionService} from '../../services/admission/admission-service.js';
import {DelayThresholdService} from '../../services/admission/delay-threshold-service.js';
import {ConcurrencyLimitService} from '../../services/admission/concurrency-limit-service.js';
import {QueueAdmissionService} from '../../services/admission/queue-admission-service.js';
import {AimdLimitService} from '../../services/admission/aimd-limit-service.js';
import {ThresholdService} from '../../services/admission/threshold-service.js';
import {BackendService} from '../../services/backend/backend-service.js';
import {LoopbackBackendService} from '../../services/backend/loopback-backend-service.js';
import {CallerService} from '../../services/callers/caller-service.js';
import {HttpCallerService} from '../../services/callers/http-caller-service.js';
import {StatusReport} from '../../services/callers/status-report.js';
import {StatusService} from '../../services/callers/status-service.js';
import {CallService} from '../../services/calls/call-service.js';
import {GraphCallService} from '../../services/calls/graph-call-service.js';
import {RoutedUpstreamService} from '../../services/calls/routed-upstream-service.js';
import {UpstreamService} from '../../services/calls/upstream-service.js';
import {GossipMembershipService} from '../../services/membership/gossip-membership-service.js';
import {LeaseService} from '../../services/membership/lease-service.js';
import {MembershipService} from '../../services/membership/membership-service.js';
import {StoreLeaseService} from '../../services/membership/store-lease-service.js';
import {OwnershipService} from '../../services/ownership/ownership-service.js';
import {ShardedOwnershipService} from '../../services/ownership/sharded-ownership-service.js';
import {PolicyService} from '../../services/policy/policy-service.js';
import {StoredPolicyService} from '../../services/policy/stored-policy-service.js';
import {GrantedRetryService} from '../../services/retries/granted-retry-service.js';
import {RetryService} from '../../services/retries/retry-service.js';
import {PolicyRoutingService} from '../../services/routing/policy-routing-service.js';
import {RoutingService} from '../../services/routing/routing-service.js';

/** Creates a kernel with every service of a node; tests replace some of them before first use. */
export function createKernel(settings: NodeSettings): Kernel {
	return new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(settings))
		.register(LogService, PinoLogService)
		.register(MetricsService, StatsdMetricsService)
		.register(StoreService, KvStoreService)
		.register(PeerService, FramedPeerService)
		.register(PolicyService, StoredPolicyService)
		.register(LeaseService, StoreLeaseService)
		.register(MembershipService, GossipMembershipService)
		.register(RoutingService, PolicyRoutingService)
		.register(ConcurrencyLimitService, AimdLimitService)
		.register(ThresholdService, DelayThresholdService)
		.register(AdmissionService, QueueAdmissionService)
		.register(BackendService, LoopbackBackendService)
		.register(UpstreamService, RoutedUpstreamService)
		.register(OwnershipService, ShardedOwnershipService)
		.register(RetryService, GrantedRetryService)
		.register(CallService, GraphCallService)
		.register(StatusService, StatusReport)
		.register(CallerService, HttpCallerService);
}
