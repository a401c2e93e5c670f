import {type z} from 'zod';
import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type patchRecord} from './patch-record.js';
import {type Policy} from './policy.js';

type PolicyQuestion = {
	/** Version in force at the node that asks; 0 for none. */
	readonly version: number;
};

/** Without news, `version` is not higher than asked and the rest is left out. */
type PolicyNews = {
	readonly version: number;
	/** Revision of the store's key that has this version; 0 when not known. */
	readonly modRevision: number;
	/** Digest of the whole policy. */
	readonly digest?: string;
	/** The patches from the asked version on, when they are at hand; else the whole policy. */
	readonly patches?: ReadonlyArray<z.infer<typeof patchRecord>>;
	readonly policy?: Policy;
};

/** Asks a peer for what has changed since a version of the policy. */
export const policyMethod = new PeerMethod<PolicyQuestion, PolicyNews>('policy');
