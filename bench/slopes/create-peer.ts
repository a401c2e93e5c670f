import {Kernel} from '../../src/platform/kernel/kernel.js';
import {LogService} from '../../src/platform/log/log-service.js';
import {WinstonLogService} from '../../src/platform/log/winston-log-service.js';
import {MetricsService} from '../../src/platform/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../src/platform/metrics/statsd-metrics-service.js';
import {FramedPeerService} from '../../src/platform/peer/framed-peer-service.js';
import {PeerService} from '../../src/platform/peer/peer-service.js';
import {FixedSettingsService} from '../../src/platform/settings/fixed-settings-service.js';
import {SettingsService} from '../../src/platform/settings/settings-service.js';
import {benchSettings} from './bench-settings.js';

/** A node's connections to its peers, without the rest of it. */
export function createPeer(nodeId: string): PeerService {
	return new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(benchSettings(nodeId)))
		.register(LogService, WinstonLogService)
		.register(MetricsService, StatsdMetricsService)
		.register(PeerService, FramedPeerService)
		.get(PeerService);
}
