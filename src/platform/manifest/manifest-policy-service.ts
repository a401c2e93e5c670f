import {LogService} from '../../runtime/log/log-service.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {StoreService} from '../../runtime/store/store-service.js';
import {type Policy} from '../../services/policy/policy.js';
import {StoredPolicyService} from '../../services/policy/stored-policy-service.js';
import {decodeManifest} from './decode-manifest.js';

/** Reads the policy from the configuration that operators write to the platform's store, in the platform's format. */
export class ManifestPolicyService extends StoredPolicyService {
	protected override readonly key = 'op/config';

	constructor(
		@RelaySettingsService private readonly relaySettings: RelaySettingsService,
		@SettingsService settingsService: SettingsService,
		@StoreService store: StoreService,
		@PeerService peers: PeerService,
		@LogService log: LogService,
	) {
		super(settingsService, store, peers, log);
	}

	protected override get inForceWithinMs(): number {
		return this.relaySettings.relay.policyInForceMs;
	}

	protected override decode(value: string): Policy {
		return decodeManifest(value);
	}
}
