import {SeededRandom} from '../../../membership/seeded-random.js';

const leastDelayMs = 1;
const delayRangeMs = 4;

/** Delays, losses and cut connections between the parts of a mesh, drawn from a seed. */
export class MeshConditions {
	/** Fraction of replies between nodes that are lost after the call was handled. */
	lostAnswerShare = 0;
	/** Maximum additional delay of each message. */
	extraDelayMs = 0;
	/** Fraction of the store's results that are lost after the change took effect. */
	lostStoreAnswerShare = 0;
	/** Node whose compare-and-swaps of shard tables wait until `swapDelay` settles. */
	heldSwapsOf = '';
	heldSwaps = Promise.resolve();
	readonly random: SeededRandom;
	private readonly cutPairs = new Set<string>();

	constructor(seed: number) {
		this.random = new SeededRandom(seed, 'mesh');
	}

	cut(one: string, other: string): void {
		this.cutPairs.add(pairOf(one, other));
	}

	join(one: string, other: string): void {
		this.cutPairs.delete(pairOf(one, other));
	}

	isCut(one: string, other: string): boolean {
		return this.cutPairs.has(pairOf(one, other));
	}

	chance(share: number): boolean {
		return this.random.next() < share;
	}

	/** Waits for the time that a message takes. */
	async transit(): Promise<void> {
		await this.pause(leastDelayMs + Math.floor(this.random.next() * (delayRangeMs + this.extraDelayMs)));
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
