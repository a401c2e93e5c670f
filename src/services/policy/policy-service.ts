import {type Operation as JsonPatchOperation} from 'rfc6902';
import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
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
	/** Takes the version that the store offers, if it answers in time, then follows changes. */
	start(signal: AbortSignal): Promise<void>;
	/** Writes the first policy, as version 1: `policy-conflict` when there is one, `policy-invalid` or `store-unavailable`. */
	initialize(document: unknown, signal: AbortSignal): Promise<PatchResult>;
	/** Accepts or refuses a patch whole: `policy-conflict`, `policy-invalid` or `store-unavailable`. */
	submit(patch: PolicyPatch, signal: AbortSignal): Promise<PatchResult>;
	/** Applies a patch to the policy in force without writing it: the policy it would make, or `policy-conflict` or `policy-invalid`. */
	preview(patch: PolicyPatch): Policy;
	/**
	Writes the policy in force here to a store that has lost it or holds an earlier one;
	`policy-conflict` when the store holds the same or a later version.
	*/
	restore(signal: AbortSignal): Promise<PatchResult>;
	/** Tells that a peer has this version, as gossip hears it. */
	hearOf(version: number, peer: PeerAddress): void;
	/** Whether this node watches the store for new versions, or relies on its peers and a slow check. */
	setWatching(watching: boolean): void;
}

export const PolicyService = createServiceId<PolicyService>('policy');
