import {type Operation as JsonPatchOperation} from 'rfc6902';
import {type Event} from '../../base/event.js';
import {createServiceId} from '../../platform/kernel/create-service-id.js';
import {type Policy} from './policy.js';

export type PolicyPatch = {
	readonly patchId: string;
	readonly baseVersion: number;
	readonly operations: readonly JsonPatchOperation[];
};

export type PatchResult = {
	readonly version: number;
	/** True when this very patch had been accepted before. */
	readonly repeated: boolean;
};

/** The policy in force at this node and the way to change it. */
export interface PolicyService {
	/** The policy in force; throws `policy-unknown` before the first. */
	readonly current: Policy;
	/** 0 before the first policy. */
	readonly version: number;
	readonly onDidChange: Event<Policy>;
	/** Takes the highest version that store and peers offer, then follows changes. */
	start(signal: AbortSignal): Promise<void>;
	/** Accepts or refuses a patch whole: `policy-conflict`, `policy-invalid` or `store-unavailable`. */
	submit(patch: PolicyPatch, signal: AbortSignal): Promise<PatchResult>;
	/** Tells that a peer has this version, as gossip hears it. */
	hearOf(version: number, nodeId: string): void;
}

export const PolicyService = createServiceId<PolicyService>('policy');
