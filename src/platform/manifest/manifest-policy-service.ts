import {type Policy} from '../../services/policy/policy.js';
import {StoredPolicyService} from '../../services/policy/stored-policy-service.js';
import {decodeManifest} from './decode-manifest.js';

/** The policy that operators write into the platform's store in its own format. */
export class ManifestPolicyService extends StoredPolicyService {
	protected override readonly key = 'op/config';

	protected override decode(value: string): Policy {
		return decodeManifest(value);
	}
}
