import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {createRandom} from '../../base/create-random.js';
import {type Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import {ErrorKind} from '../../base/error-kind.js';
import {type Event} from '../../base/event.js';
import {ignoreRejection} from '../../base/ignore-rejection.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {sleep} from '../../base/sleep.js';
import {LogService} from '../../runtime/log/log-service.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {PeerService} from '../../runtime/peer/peer-service.js';
import {SettingsService} from '../../runtime/settings/settings-service.js';
import {Backoff} from '../../runtime/store/backoff.js';
import {type StoreEntry} from '../../runtime/store/store-entry.js';
import {type StoreListing, StoreService} from '../../runtime/store/store-service.js';
import {ConfirmationSource} from './confirmation-source.js';
import {encodePolicyUpdate} from './encode-policy-update.js';
import {makeFirstPolicy} from './make-first-policy.js';
import {makePatchedPolicy} from './make-patched-policy.js';
import {parsePatch} from './parse-patch.js';
import {parsePolicy} from './parse-policy.js';
import {policyDigest} from './policy-digest.js';
import {PolicyFetcher} from './policy-fetcher.js';
import {policyKey} from './policy-key.js';
import {policyMethod} from './policy-method.js';
import {type PatchResult, type PolicyPatch, type PolicyService} from './policy-service.js';
import {type Policy} from './policy.js';
import {PolicyWriter} from './policy-writer.js';
import {policyRejection} from './policy-rejection.js';
import {VersionConfirmation} from './version-confirmation.js';

/** Time after which a watch without changes is renewed, so that one that is silently dead ends. Each renewal is a call to the store from every node. */
const watchCheckIntervalMs = 10_000;
const defaultInForceWithinMs = 3000;
/**
Age of a confirmation at which a node reads the store, as a fraction of the time within which a change has to be in force. Each node draws
its age between the two fractions, and the first one to read notifies its peers, so that the others seldom read. The second fraction is
also the minimum time between two reads of a node.
*/
const firstReadFraction = 0.35;
const lastReadFraction = 0.5;
/** Fraction of the same time by which a confirmation has to be younger than the previous one to be sent to peers; avoids repeating simultaneous reads. */
const newsFraction = 0.25;
const firstBackoffMs = 200;
const backoffLimitMs = 5000;

/** Keeps the policy in force: watches the store, and fetches versions that it doesn't get there from peers; never goes back to an earlier version. */
export class StoredPolicyService implements PolicyService, Disposable {
	readonly onDidChange: Event<Policy>;
	readonly onDidConfirm: Event<ConfirmationSource>;
	/** Key of the policy in the store. */
	protected readonly key: string = policyKey;
	private readonly disposables = new DisposableStore();
	private readonly changeEmitter = this.disposables.add(new Emitter<Policy>());
	private readonly confirmEmitter = this.disposables.add(new Emitter<ConfirmationSource>());
	private readonly random: RandomGenerator;
	private readonly fetcher: PolicyFetcher;
	private readonly writer: PolicyWriter;
	private policy: Policy | undefined;
	/** Revision of the store's key that holds the policy in force; 0 if unknown. */
	private modRevision = 0;
	/** Highest version that a peer has announced, and when. */
	private announcedVersion = 0;
	private announcedAtMs = 0;
	private readonly confirmation = new VersionConfirmation();
	/** Last decoded entry of the store; it is not decoded again. */
	private decodedEntry: StoreEntry | undefined;
	/** When this node last began to read the policy because it was not confirmed. */
	private readAtMs = 0;
	private readonly stop = new AbortController();

	constructor(
		@SettingsService settingsService: SettingsService,
		@StoreService private readonly store: StoreService,
		@PeerService private readonly peers: PeerService,
		@LogService private readonly log: LogService,
	) {
		const {nodeId, seed, probeAfterMs, abandonAfterMs} = settingsService.settings;
		this.onDidChange = this.changeEmitter.event;
		this.onDidConfirm = this.confirmEmitter.event;
		this.random = createRandom(seed, `${nodeId}/policy`);
		this.writer = new PolicyWriter(store, () => this.createBackoff(), () => this.version, ({policy, modRevision}) => {
			this.adoptPolicy(policy, modRevision, 'write');
		});
		this.fetcher = this.disposables.add(new PolicyFetcher(peers, this.random, {
			timeoutMs: probeAfterMs + abandonAfterMs,
			known: () => this.policy,
			onDidFetch: (policy, modRevision, peer) => {
				this.adoptPolicy(policy, modRevision, peer.nodeId);
			},
			onDidFail: (peer, error) => {
				this.log.info('failed to fetch the policy from a peer', {peer: peer.nodeId, inForce: this.version, error: String(error)});
			},
		}));
	}

	/** Time within which a change has to be in force at each node. */
	protected get inForceWithinMs(): number {
		return defaultInForceWithinMs;
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

	get confirmationAgeMs(): number {
		return performance.now() - this.confirmation.atMs;
	}

	async start(signal: AbortSignal): Promise<void> {
		this.disposables.add(this.peers.handle(policyMethod, async ({version}) => encodePolicyUpdate(this.policy, this.modRevision, version)));
		this.watchStore(await this.readStore(signal));
		void this.runChecks(this.stop.signal);
	}

	async initialize(document: unknown, signal: AbortSignal): Promise<PatchResult> {
		const first = makeFirstPolicy(document, Date.now());
		const [{patchId, digest}] = first.recentPatches;
		return this.writer.write({
			patchId,
			digest,
			make(stored) {
				if (stored) {
					throw policyRejection(ErrorKind.PolicyConflict, `a policy already exists: version ${stored.version} is in force`);
				}

				return first;
			},
		}, signal);
	}

	async submit(patch: PolicyPatch, signal: AbortSignal): Promise<PatchResult> {
		const {patchId, baseVersion, operations} = parsePatch(patch);
		const acceptedAtMs = Date.now();
		return this.writer.write({
			patchId,
			digest: policyDigest({baseVersion, operations}),
			make: stored => makePatchedPolicy(stored, {patchId, baseVersion, operations}, acceptedAtMs),
		}, signal);
	}

	async restore(signal: AbortSignal): Promise<PatchResult> {
		const policy = this.current;
		await this.writer.restore(policy, signal);
		return {version: policy.version, repeated: false};
	}

	preview(patch: PolicyPatch): Policy {
		return makePatchedPolicy(this.current, parsePatch(patch), Date.now());
	}

	recordPeerVersion(version: number, peer: PeerAddress): void {
		if (version > Math.max(this.version, this.announcedVersion)) {
			this.announcedVersion = version;
			this.announcedAtMs = performance.now();
			this.log.info('policy announced', {version, inForce: this.version, peer: peer.nodeId});
		}

		this.fetcher.recordPeerVersion(version, peer);
	}

	recordPeerConfirmation(version: number, ageMs: number): void {
		// The confirmation of a newer version does not confirm the one in force here.
		if (version <= this.version) {
			this.notifyConfirmed(this.confirmation.recordOfPeer(ageMs, performance.now()), ConfirmationSource.Peer);
		}
	}

	dispose(): void {
		this.stop.abort();
		this.disposables.dispose();
	}

	/** Decodes a policy from its stored form; throws if the policy is not valid. */
	protected decode(value: string): Policy {
		return parsePolicy(JSON.parse(value));
	}

	private createBackoff(): Backoff {
		return new Backoff(this.random, firstBackoffMs, backoffLimitMs);
	}

	/** Puts a policy in force if it is newer; `source` is the node id of the peer it comes from, or how it was read from the store. */
	private adoptPolicy(policy: Policy, modRevision: number, source: string): void {
		if (policy.version < this.version) {
			return;
		}

		if (policy.version === this.version) {
			this.modRevision = modRevision === 0 ? this.modRevision : modRevision;
			return;
		}

		// A store that lost its data counts revisions from the start again: use the revision of this version, not the highest one seen.
		this.modRevision = modRevision;
		this.policy = policy;
		const isAnnounced = policy.version === this.announcedVersion;
		this.log.info('policy in force', {
			version: policy.version, source, ...(isAnnounced && {sinceAnnouncedMs: Math.round(performance.now() - this.announcedAtMs)}),
		});
		this.changeEmitter.fire(policy);
	}

	private adoptEntry(entry: StoreEntry | undefined, source: string): void {
		if (!entry) {
			this.log.error('the store holds no policy', {version: this.version});
			return;
		}

		if (entry.modRevision === this.decodedEntry?.modRevision && entry.value === this.decodedEntry.value) {
			return;
		}

		this.decodedEntry = entry;
		try {
			const policy = this.decode(entry.value);
			if (policy.version < this.version && entry.modRevision > this.modRevision) {
				this.log.error('the store holds an earlier policy version than the one in force', {version: policy.version, inForce: this.version});
			}

			this.adoptPolicy(policy, entry.modRevision, source);
		} catch (error) {
			this.log.error('the store holds a policy that is not valid', {error: String(error)});
		}
	}

	/** Reads the policy once; undefined if the store does not answer. */
	private async readStore(signal: AbortSignal): Promise<StoreListing | undefined> {
		const startedAtMs = performance.now();
		try {
			const listing = await this.store.list(this.key, signal);
			const entry = listing.entries.find(({key}) => key === this.key);
			if (entry) {
				this.adoptEntry(entry, 'read');
			}

			// The store held this version when the read arrived there, which was no earlier than its start.
			this.notifyConfirmed(this.confirmation.record(startedAtMs), ConfirmationSource.Store);
			return listing;
		} catch (error) {
			this.log.debug('the policy was not read from the store', {reason: String(error)});
			return undefined;
		}
	}

	/** Fires `onDidConfirm` if a confirmation is sufficiently younger than the previous one. */
	private notifyConfirmed(gainMs: number, source: ConfirmationSource): void {
		if (gainMs >= this.inForceWithinMs * newsFraction) {
			this.confirmEmitter.fire(source);
		}
	}

	/** Reads the policy when its confirmation is too old: the watch may be silent without an error, and the node out of reach of gossip. */
	private async runChecks(stopped: AbortSignal): Promise<void> {
		this.readAtMs = performance.now();
		while (!stopped.aborted) {
			await this.waitForCheck(stopped);
			if (!stopped.aborted) {
				this.readAtMs = performance.now();
				this.log.debug('policy version not confirmed', {inForce: this.version, unconfirmedMs: Math.round(this.confirmationAgeMs)});
				await this.readStore(stopped);
			}
		}
	}

	/** Waits until the policy has to be read; confirmations put it off. */
	private async waitForCheck(stopped: AbortSignal): Promise<void> {
		const unconfirmedMs = this.inForceWithinMs * (firstReadFraction + ((lastReadFraction - firstReadFraction) * uniformFloat64(this.random)));
		while (!stopped.aborted) {
			const dueAtMs = Math.max(this.confirmation.atMs + unconfirmedMs, this.readAtMs + (this.inForceWithinMs * lastReadFraction));
			const delayMs = dueAtMs - performance.now();
			if (delayMs <= 0) {
				return;
			}

			await ignoreRejection(sleep(delayMs, stopped));
		}
	}

	/** Every node watches the store itself: what gossip brings has no bound for a single node. */
	private watchStore(known: StoreListing | undefined): void {
		this.disposables.add(this.store.watch(this.key, ({key, entry}) => {
			if (key === this.key) {
				this.adoptEntry(entry, 'watch');
				this.confirmation.record(performance.now());
			}
		}, {checkIntervalMs: watchCheckIntervalMs, known}));
	}
}
