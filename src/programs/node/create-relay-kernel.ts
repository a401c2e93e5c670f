import {HeaderNames} from '../../runtime/http/header-names.js';
import {type Kernel} from '../../runtime/kernel/kernel.js';
import {EventLoopProcessorService} from '../../runtime/processor/event-loop-processor-service.js';
import {ProcessorService} from '../../runtime/processor/processor-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {platformHeaderNames} from '../../platform/header-names.js';
import {ManifestPolicyService} from '../../platform/manifest/manifest-policy-service.js';
import {PlatformSettingsService} from '../../platform/settings/platform-settings-service.js';
import {type PlatformSettings} from '../../platform/settings/read-settings.js';
import {InstanceTracker} from '../../services/backend/instance-tracker.js';
import {InstanceService} from '../../services/backend/instance-service.js';
import {ExchangeService} from '../../services/exchange/exchange-service.js';
import {PooledExchangeService} from '../../services/exchange/pooled-exchange-service.js';
import {HttpOutboundService} from '../../services/outbound/http-outbound-service.js';
import {OutboundService} from '../../services/outbound/outbound-service.js';
import {PolicyService} from '../../services/policy/policy-service.js';
import {CallGraphService} from '../../services/relay/call-graph-service.js';
import {LearnedCallGraphService} from '../../services/relay/learned-call-graph-service.js';
import {MeshRelayService} from '../../services/relay/mesh-relay-service.js';
import {RelayService} from '../../services/relay/relay-service.js';
import {RunningRequestSet} from '../../services/relay/running-request-set.js';
import {RunningRequests} from '../../services/relay/running-requests.js';
import {createKernel} from './create-kernel.js';

/** Creates a kernel with every service of a node that runs on the platform. */
export function createRelayKernel(settings: PlatformSettings): Kernel {
	return createKernel(settings.node)
		.registerInstance(RelaySettingsService, new PlatformSettingsService(settings.relay))
		.registerInstance(HeaderNames, platformHeaderNames)
		.register(PolicyService, ManifestPolicyService)
		.register(InstanceService, InstanceTracker)
		.register(ProcessorService, EventLoopProcessorService)
		.register(ExchangeService, PooledExchangeService)
		.register(RunningRequests, RunningRequestSet)
		.register(CallGraphService, LearnedCallGraphService)
		.register(RelayService, MeshRelayService)
		.register(OutboundService, HttpOutboundService);
}
