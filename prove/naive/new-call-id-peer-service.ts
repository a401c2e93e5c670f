import {setTimeout as delay} from 'node:timers/promises';
import {v7 as createUuid} from 'uuid';
import {LogService} from '../../src/runtime/log/log-service.js';
import {MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {type PeerMethod} from '../../src/runtime/peer/peer-method.js';
import {type PeerCallOptions} from '../../src/runtime/peer/peer-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';

const patienceMs = 100;

/** Naive variant of sending a call again under its id: sends a call without a reply again under a new id. */
export class NewCallIdPeerService extends FramedPeerService {
	constructor(@SettingsService settingsService: SettingsService, @LogService log: LogService, @MetricsService metrics: MetricsService) {
		super(settingsService, log, metrics);
	}

	override async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R> {
		const endsAtMs = performance.now() + options.timeoutMs;
		for (;;) {
			const timeoutMs = endsAtMs - performance.now();
			const call = super.call(peer, method, params, {...options, callId: createUuid(), timeoutMs});
			const result = await Promise.race([call, delay(patienceMs, undefined)]);
			if (result !== undefined || timeoutMs <= patienceMs) {
				return result ?? call;
			}
		}
	}
}
