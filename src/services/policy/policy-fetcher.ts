import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type Disposable} from '../../base/disposable.js';
import {sleep} from '../../base/sleep.js';
import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type PeerService} from '../../runtime/peer/peer-service.js';
import {Backoff} from '../../runtime/store/backoff.js';
import {decodePolicyUpdate} from './decode-policy-update.js';
import {policyMethod} from './policy-method.js';
import {type Policy} from './policy.js';

/** Time to wait until the versions of several peers are known, so that not all nodes ask the same peer. */
const collectDelayMs = 200;
const firstBackoffMs = 50;
const backoffLimitMs = 1000;
const maxFailures = 5;

type Candidate = {
	readonly version: number;
	readonly peer: PeerAddress;
	readonly failures: number;
};

type FetcherOptions = {
	readonly timeoutMs: number;
	readonly known: () => Policy | undefined;
	readonly onDidFetch: (policy: Policy, modRevision: number, peer: PeerAddress) => void;
	readonly onDidFail: (peer: PeerAddress, error: unknown) => void;
};

/** Fetches newer versions of the policy from the peers that have them according to gossip. */
export class PolicyFetcher implements Disposable {
	private readonly controller = new AbortController();
	private readonly candidates = new Map<string, Candidate>();
	private isRunning = false;

	constructor(
		private readonly peers: PeerService,
		private readonly random: RandomGenerator,
		private readonly options: FetcherOptions,
	) {}

	private get knownVersion(): number {
		return this.options.known()?.version ?? 0;
	}

	recordPeerVersion(version: number, peer: PeerAddress): void {
		if (version <= this.knownVersion || this.controller.signal.aborted) {
			return;
		}

		const known = this.candidates.get(peer.nodeId);
		this.candidates.set(peer.nodeId, {version, peer, failures: known?.version === version ? known.failures : 0});
		if (!this.isRunning) {
			void this.run();
		}
	}

	dispose(): void {
		this.controller.abort();
		this.candidates.clear();
	}

	private async run(): Promise<void> {
		this.isRunning = true;
		try {
			await sleep(collectDelayMs * (0.5 + (uniformFloat64(this.random) / 2)), this.controller.signal);
			await this.fetchAll();
		} catch {
			// Disposed.
		} finally {
			this.isRunning = false;
		}
	}

	private async fetchAll(): Promise<void> {
		const backoff = new Backoff(this.random, firstBackoffMs, backoffLimitMs);
		for (let candidate = this.selectCandidate(); candidate; candidate = this.selectCandidate()) {
			try {
				await this.fetch(candidate.peer);
			} catch (error) {
				this.recordFailure(candidate);
				this.options.onDidFail(candidate.peer, error);
				await backoff.wait(this.controller.signal);
			}
		}
	}

	/** Selects at random among the peers with the fewest failures and, of these, the highest version. */
	private selectCandidate(): Candidate | undefined {
		let best: Candidate[] = [];
		for (const [nodeId, candidate] of this.candidates) {
			if (candidate.version <= this.knownVersion) {
				this.candidates.delete(nodeId);
				continue;
			}

			const order = best.length === 0 ? -1 : (candidate.failures - best[0].failures || best[0].version - candidate.version);
			if (order < 0) {
				best = [candidate];
			} else if (order === 0) {
				best.push(candidate);
			}
		}

		return best.length === 0 ? undefined : best[uniformInt(this.random, 0, best.length - 1)];
	}

	private async fetch(peer: PeerAddress): Promise<void> {
		const known = this.options.known();
		const query = {version: known?.version ?? 0};
		const update = await this.peers.call(peer, policyMethod, query, {timeoutMs: this.options.timeoutMs, signal: this.controller.signal});
		const policy = decodePolicyUpdate(update, known);
		if (!policy) {
			throw new Error(`node ${peer.nodeId} has only version ${update.version} of the policy`);
		}

		this.options.onDidFetch(policy, update.modRevision, peer);
	}

	private recordFailure(failed: Candidate): void {
		const {nodeId} = failed.peer;
		// The peer has announced a newer version meanwhile, so its failure count starts again at 0.
		if (this.candidates.get(nodeId)?.version !== failed.version) {
			return;
		}

		if (failed.failures + 1 === maxFailures) {
			this.candidates.delete(nodeId);
		} else {
			this.candidates.set(nodeId, {...failed, failures: failed.failures + 1});
		}
	}
}
