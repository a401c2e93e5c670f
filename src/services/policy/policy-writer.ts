import {ErrorKind} from '../../base/error-kind.js';
import {Execution} from '../../base/execution.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {type Backoff} from '../../runtime/store/backoff.js';
import {type StoreService} from '../../runtime/store/store-service.js';
import {parsePolicy} from './parse-policy.js';
import {policyKey} from './policy-key.js';
import {type PatchResult} from './policy-service.js';
import {type Policy} from './policy.js';
import {policyRejection} from './policy-rejection.js';

/** A change of the policy that an operator has requested. */
type Proposal = {
	readonly patchId: string;
	readonly digest: string;
	/** Applies the change to the stored policy; throws if the change is rejected. */
	readonly make: (stored: Policy | undefined) => Policy;
};

type StoredPolicy = {
	readonly policy: Policy;
	readonly modRevision: number;
};

/** Writes policies by compare-and-swap; determines the outcome of a write whose result was lost by reading the policy back. */
export class PolicyWriter {
	constructor(
		private readonly store: StoreService,
		private readonly backoff: () => Backoff,
		private readonly versionInForce: () => number,
		private readonly onDidWrite: (written: StoredPolicy) => void,
	) {}

	/**
	Retries the swap until its outcome is known. It takes effect at most once, as every try expects the same revision.
	Throws `store-unavailable` if the signal is aborted before; the change may then have been accepted.
	*/
	async write(proposal: Proposal, signal: AbortSignal): Promise<PatchResult> {
		let stored = await this.readInitial(signal);
		let isSent = false;
		const backoff = this.backoff();
		for (;;) {
			const version = this.findAccepted(stored?.policy, proposal);
			if (version !== undefined) {
				this.onDidWrite(stored!);
				return {version, repeated: !isSent};
			}

			const policy = proposal.make(stored?.policy);
			isSent = true;
			const modRevision = await this.trySwap(stored?.modRevision ?? 0, policy, signal);
			if (modRevision !== undefined) {
				this.onDidWrite({policy, modRevision});
				return {version: policy.version, repeated: false};
			}

			stored = await this.readBack(backoff, signal);
		}
	}

	/** Replaces an earlier policy, or none, without retries; if the result is lost, the outcome is unknown. */
	async restore(policy: Policy, signal: AbortSignal): Promise<void> {
		const entry = await this.store.get(policyKey, signal);
		const stored = entry && parsePolicy(JSON.parse(entry.value));
		if (stored && stored.version >= policy.version) {
			throw policyRejection(ErrorKind.PolicyConflict, `the store holds version ${stored.version}: there is nothing to restore`);
		}

		const {swapped, modRevision} = await this.store.compareAndSwap(policyKey, entry?.modRevision ?? 0, JSON.stringify(policy), undefined, signal);
		if (!swapped) {
			throw policyRejection(ErrorKind.PolicyConflict, 'another change was written to the store first');
		}

		this.onDidWrite({policy, modRevision});
	}

	private async readInitial(signal: AbortSignal): Promise<StoredPolicy | undefined> {
		try {
			return await this.read(signal);
		} catch (error) {
			if (error instanceof KumquatlineError && error.kind === ErrorKind.PolicyConflict) {
				throw error;
			}

			throw new KumquatlineError(ErrorKind.StoreUnavailable, `this attempt changed nothing: ${(error as Error).message}`, {
				execution: Execution.Unknown, started: false, cause: error,
			});
		}
	}

	/** The version that the proposal created, if it was accepted. */
	private findAccepted(policy: Policy | undefined, {patchId, digest}: Proposal): number | undefined {
		const record = policy?.recentPatches.find(candidate => candidate.patchId === patchId);
		if (record && record.digest !== digest) {
			throw policyRejection(ErrorKind.PolicyInvalid, `patch id "${patchId}" belongs to another patch, which made version ${record.version}`);
		}

		return record?.version;
	}

	/** Returns the new revision, or undefined if the swap failed or its result was lost. */
	private async trySwap(expectedModRevision: number, policy: Policy, signal: AbortSignal): Promise<number | undefined> {
		try {
			const result = await this.store.compareAndSwap(policyKey, expectedModRevision, JSON.stringify(policy), undefined, signal);
			return result.swapped ? result.modRevision : undefined;
		} catch {
			return undefined;
		}
	}

	private async readBack(backoff: Backoff, signal: AbortSignal): Promise<StoredPolicy | undefined> {
		for (;;) {
			try {
				return await this.read(signal);
			} catch (error) {
				if (error instanceof KumquatlineError && error.kind === ErrorKind.PolicyConflict) {
					throw error;
				}

				if (signal.aborted) {
					throw new KumquatlineError(ErrorKind.StoreUnavailable, 'the store did not confirm whether it accepted the change; submit it again with the same patch id', {
						execution: Execution.Unknown, cause: error,
					});
				}
			}

			await this.waitForBackoff(backoff, signal);
		}
	}

	/** Waits for the backoff; returns early if the signal is aborted, as the next read then fails at once and throws the error. */
	private async waitForBackoff(backoff: Backoff, signal: AbortSignal): Promise<void> {
		try {
			await backoff.wait(signal);
		} catch {
			// The next read fails at once, and its error is thrown.
		}
	}

	/**
	Reads the policy. Throws `policy-conflict` if it is earlier than the version that was in force before the read:
	a store that was emptied or reset to an earlier state must not be written to, or version numbers would be assigned twice.
	*/
	private async read(signal: AbortSignal): Promise<StoredPolicy | undefined> {
		const versionBefore = this.versionInForce();
		const entry = await this.store.get(policyKey, signal);
		const stored = entry && {policy: parsePolicy(JSON.parse(entry.value)), modRevision: entry.modRevision};
		const version = stored?.policy.version ?? 0;
		if (version < versionBefore) {
			throw new KumquatlineError(ErrorKind.PolicyConflict, `version ${versionBefore} is in force but the store holds version ${version}`, {
				execution: Execution.Unknown,
			});
		}

		return stored;
	}
}
