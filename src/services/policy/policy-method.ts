import {type z} from 'zod';
import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type patchRecord} from './patch-record.js';
import {type Policy} from './policy.js';

type PolicyQuery = {
	/** Version in force at the requesting node; 0 if it has no policy. */
	readonly version: number;
};

/** If there is no newer version, `version` is not higher than the one in the query and the optional properties are omitted. */
type PolicyUpdate = {
	readonly version: number;
	/** Revision of the store's key that holds this version; 0 if unknown. */
	readonly modRevision: number;
	/** Digest of the complete policy. */
	readonly digest?: string;
	/** The patches since the version in the query, if all are available; otherwise `policy` has the complete policy. */
	readonly patches?: ReadonlyArray<z.infer<typeof patchRecord>>;
	readonly policy?: Policy;
};

/** Asks a peer for what has changed since a version of the policy. */
export const policyMethod = new PeerMethod<PolicyQuery, PolicyUpdate>('policy');
