import {type Policy} from '../../services/policy/policy.js';
import {StoredPolicyService} from '../../services/policy/stored-policy-service.js';
import {decodeManifest} from './decode-manifest.js';

/** Reads the policy from the configuration that operators write to the platform's store, in the platform's format. */
export class ManifestPolicyService extends StoredPolicyService {
	protected override readonly key = 'op/config';

	protected override decode(value: string): Policy {
		return decodeManifest(value);
	}
}
