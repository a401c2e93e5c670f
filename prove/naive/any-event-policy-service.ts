import {type Disposable} from '../../src/base/disposable.js';
import {Emitter} from '../../src/base/emitter.js';
import {ErrorKind} from '../../src/base/error-kind.js';
import {type Event} from '../../src/base/event.js';
import {ignoreRejection} from '../../src/base/ignore-rejection.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {PeerService} from '../../src/runtime/peer/peer-service.js';
import {StoreService} from '../../src/runtime/store/store-service.js';
import {type ConfirmationSource} from '../../src/services/policy/confirmation-source.js';
import {encodePolicyUpdate} from '../../src/services/policy/encode-policy-update.js';
import {makePatchedPolicy} from '../../src/services/policy/make-patched-policy.js';
import {makeFirstPolicy} from '../../src/services/policy/make-first-policy.js';
import {parsePatch} from '../../src/services/policy/parse-patch.js';
import {parsePolicy} from '../../src/services/policy/parse-policy.js';
import {policyKey} from '../../src/services/policy/policy-key.js';
import {policyMethod} from '../../src/services/policy/policy-method.js';
import {type PatchResult, type PolicyPatch, type PolicyService} from '../../src/services/policy/policy-service.js';
import {type Policy} from '../../src/services/policy/policy.js';

const callTimeoutMs = 200;

/** Naive variant of learning versions: adopts whatever version a watch or a peer reported last. */
export class AnyEventPolicyService implements PolicyService, Disposable {
	readonly onDidChange: Event<Policy>;
	readonly confirmationAgeMs = Number.POSITIVE_INFINITY;
	readonly onDidConfirm: Event<ConfirmationSource> = new Emitter<ConfirmationSource>().event;
	private readonly changeEmitter = new Emitter<Policy>();
	private policy: Policy | undefined;
	private watch: Disposable | undefined;

	constructor(
		@StoreService private readonly store: StoreService,
		@PeerService private readonly peers: PeerService,
	) {
		this.onDidChange = this.changeEmitter.event;
	}

	get current(): Policy {
		if (!this.policy) {
			throw new KumquatlineError(ErrorKind.PolicyUnknown, 'no policy is known yet');
		}

		return this.policy;
	}

	get version(): number {
		return this.policy?.version ?? 0;
	}

	async start(): Promise<void> {
		this.peers.handle(policyMethod, async () => encodePolicyUpdate(this.policy, 0, 0));
		this.watch = this.store.watch(policyKey, ({entry}) => {
			if (entry) {
				this.adopt(parsePolicy(JSON.parse(entry.value)));
			}
		});
	}

	async initialize(document: unknown): Promise<PatchResult> {
		return this.write(makeFirstPolicy(document, Date.now()), 0);
	}

	async submit(patch: PolicyPatch): Promise<PatchResult> {
		const found = await this.store.get(policyKey);
		const policy = makePatchedPolicy(found && parsePolicy(JSON.parse(found.value)), parsePatch(patch), Date.now());
		return this.write(policy, found?.modRevision ?? 0);
	}

	async restore(): Promise<PatchResult> {
		return this.write(this.current, 0);
	}

	preview(): Policy {
		return this.current;
	}

	recordPeerConfirmation(): void {/* The naive variant relies on its events. */}

	recordPeerVersion(version: number, peer: PeerAddress): void {
		if (version !== this.version) {
			void ignoreRejection(this.fetch(peer));
		}
	}

	dispose(): void {
		this.watch?.dispose();
		this.changeEmitter.dispose();
	}

	private async write(policy: Policy, modRevision: number): Promise<PatchResult> {
		const {swapped} = await this.store.compareAndSwap(policyKey, modRevision, JSON.stringify(policy));
		if (!swapped) {
			throw new KumquatlineError(ErrorKind.PolicyConflict, 'another version is in force');
		}

		this.adopt(policy);
		return {version: policy.version, repeated: false};
	}

	private async fetch(peer: PeerAddress): Promise<void> {
		const update = await this.peers.call(peer, policyMethod, {version: 0}, {timeoutMs: callTimeoutMs});
		if (update.policy) {
			this.adopt(parsePolicy(update.policy));
		}
	}

	private adopt(policy: Policy): void {
		if (policy.version !== this.version) {
			this.policy = policy;
			this.changeEmitter.fire(policy);
		}
	}
}
