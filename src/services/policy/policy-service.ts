import {type Operation as JsonPatchOperation} from 'rfc6902';
import {type Event} from '../../base/event.js';
import {createServiceId} from '../../runtime/kernel/create-service-id.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type ConfirmationSource} from './confirmation-source.js';
import {type Policy} from './policy.js';

export type PolicyPatch = {
	readonly patchId: string;
	readonly baseVersion: number;
	readonly operations: readonly JsonPatchOperation[];
};

export type PatchResult = {
	readonly version: number;
	/** Whether the same patch had already been accepted. */
	readonly repeated: boolean;
};

/** The policy in force at this node, and operations to change it. */
export interface PolicyService {
	/** The policy in force; throws `policy-unknown` if there is none yet. */
	readonly current: Policy;
	/** Version of the policy in force; 0 if there is none yet. */
	readonly version: number;
	readonly onDidChange: Event<Policy>;
	/** Time since the store is known to have held no version newer than the one in force; infinite if it never was. */
	readonly confirmationAgeMs: number;
	/** Fires when a younger confirmation should be sent to peers. */
	readonly onDidConfirm: Event<ConfirmationSource>;
	/** Loads the policy from the store, if it responds in time, then follows changes. */
	start(signal: AbortSignal): Promise<void>;
	/** Writes the first policy, as version 1. Throws `policy-conflict` if there is a policy already, `policy-invalid` or `store-unavailable`. */
	initialize(document: unknown, signal: AbortSignal): Promise<PatchResult>;
	/** Applies a patch as a whole or not at all. Throws `policy-conflict`, `policy-invalid` or `store-unavailable`. */
	submit(patch: PolicyPatch, signal: AbortSignal): Promise<PatchResult>;
	/** Returns the policy that a patch would create, without writing it. Throws `policy-conflict` or `policy-invalid`. */
	preview(patch: PolicyPatch): Policy;
	/**
	Writes the policy in force at this node to a store that has lost it or holds an earlier version.
	Throws `policy-conflict` if the store holds the same or a later version.
	*/
	restore(signal: AbortSignal): Promise<PatchResult>;
	/** Records that a peer has this version, as received by gossip; a newer version is then fetched from it. */
	recordPeerVersion(version: number, peer: PeerAddress): void;
	/** Records a peer's confirmation: `ageMs` ago, the store held no version newer than this one. */
	recordPeerConfirmation(version: number, ageMs: number): void;
}

export const PolicyService = createServiceId<PolicyService>('policy');
