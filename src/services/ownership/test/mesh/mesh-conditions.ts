import {SeededRandom} from '../../../membership/seeded-random.js';

const minDelayMs = 1;
const delayRangeMs = 4;

/** Delays, losses and cut connections between the parts of a mesh, drawn from a seed. */
export class MeshConditions {
	/** Fraction of replies between nodes that are lost after the call was handled. */
	lostReplyRate = 0;
	/** Maximum additional delay of each message. */
	extraDelayMs = 0;
	/** Fraction of the store's results that are lost after the change took effect. */
	lostStoreResultRate = 0;
	/** Node whose compare-and-swaps of shard tables wait until `swapDelay` settles. */
	delayedSwapNodeId = '';
	swapDelay = Promise.resolve();
	readonly random: SeededRandom;
	private readonly cutPairs = new Set<string>();

	constructor(seed: number) {
		this.random = new SeededRandom(seed, 'mesh');
	}

	cut(one: string, other: string): void {
		this.cutPairs.add(pairOf(one, other));
	}

	reconnect(one: string, other: string): void {
		this.cutPairs.delete(pairOf(one, other));
	}

	isCut(one: string, other: string): boolean {
		return this.cutPairs.has(pairOf(one, other));
	}

	chance(probability: number): boolean {
		return this.random.next() < probability;
	}

	/** Waits for the time that a message takes. */
	async transit(): Promise<void> {
		await this.pause(minDelayMs + Math.floor(this.random.next() * (delayRangeMs + this.extraDelayMs)));
	}

	async pause(durationMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			setTimeout(resolve, durationMs);
		});
	}
}

function pairOf(one: string, other: string): string {
	return [one, other].sort().join(' ');
}
