import {LogService} from '../../src/runtime/log/log-service.js';
import {MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';

const neverMs = 3_600_000;

/** Naive variant of detecting silent connections: never probes a connection. */
export class UnprobedPeerService extends FramedPeerService {
	constructor(@SettingsService {settings, incarnation}: SettingsService, @LogService log: LogService, @MetricsService metrics: MetricsService) {
		super({settings: {...settings, probeAfterMs: neverMs}, incarnation}, log, metrics);
	}
}
