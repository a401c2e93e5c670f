import {ErrorKind} from '../../src/base/error-kind.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {MetricsService} from '../../src/runtime/metrics/metrics-service.js';
import {FramedPeerService} from '../../src/runtime/peer/framed-peer-service.js';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {type PeerMethod} from '../../src/runtime/peer/peer-method.js';
import {type PeerCallOptions} from '../../src/runtime/peer/peer-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';

/** Peer calls that fail during a partition of the availability zones. */
export class ZonedPeerService extends FramedPeerService {
	canReach: ((peer: PeerAddress) => boolean) | undefined;

	constructor(@SettingsService settingsService: SettingsService, @LogService log: LogService, @MetricsService metrics: MetricsService) {
		super(settingsService, log, metrics);
	}

	override async call<P, R>(peer: PeerAddress, method: PeerMethod<P, R>, params: P, options: PeerCallOptions): Promise<R> {
		if (this.canReach?.(peer) === false) {
			throw new KumquatlineError(ErrorKind.PeerUnreachable, `${peer.nodeId} is unreachable during the zone partition`);
		}

		return super.call(peer, method, params, options);
	}
}
