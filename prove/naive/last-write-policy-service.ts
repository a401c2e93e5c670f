import {ErrorKind} from '../../src/base/error-kind.js';
import {StoreService} from '../../src/runtime/store/store-service.js';
import {LogService} from '../../src/runtime/log/log-service.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {SettingsService} from '../../src/runtime/settings/settings-service.js';
import {makePatchedPolicy} from '../../src/services/policy/make-patched-policy.js';
import {parsePatch} from '../../src/services/policy/parse-patch.js';
import {policyKey} from '../../src/services/policy/policy-key.js';
import {policyRejection} from '../../src/services/policy/policy-rejection.js';
import {type PatchResult, type PolicyPatch} from '../../src/services/policy/policy-service.js';
import {StoredPolicyService} from '../../src/services/policy/stored-policy-service.js';

/** Naive variant of accepting patches: the last write wins, and a lost answer counts as a rejection. */
export class LastWritePolicyService extends StoredPolicyService {
	constructor(
		@SettingsService settingsService: SettingsService,
		@StoreService private readonly plainStore: StoreService,
		@PeerService peers: PeerService,
		@LogService log: LogService,
	) {
		super(settingsService, plainStore, peers, log);
	}

	override async submit(patch: PolicyPatch, signal: AbortSignal): Promise<PatchResult> {
		const policy = makePatchedPolicy(this.current, parsePatch(patch), Date.now());
		try {
			const found = await this.plainStore.get(policyKey, signal);
			const {swapped} = await this.plainStore.compareAndSwap(policyKey, found?.modRevision ?? 0, JSON.stringify(policy), undefined, signal);
			if (swapped) {
				return {version: policy.version, repeated: false};
			}
		} catch {}

		throw policyRejection(ErrorKind.PolicyConflict, 'not written');
	}
}
