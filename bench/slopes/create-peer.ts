import {Kernel} from '../../src/runtime/kernel/kernel.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {PinoLogService} from '../../src/runtime/log/pino-log-service.js';
import {MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../src/runtime/metrics/statsd-metrics-service.js';
import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {FixedSettingsService} from '../../src/runtime/settings/fixed-settings-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {benchSettings} from './bench-settings.js';

/** Creates a node's peer connections without the rest of the node. */
export function createPeer(nodeId: string): PeerService {
	return new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(benchSettings(nodeId)))
		.register(LogService, PinoLogService)
		.register(MetricsService, StatsdMetricsService)
		.register(PeerService, FramedPeerService)
		.get(PeerService);
}
