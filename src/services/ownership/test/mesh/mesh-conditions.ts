import {SeededRandom} from '../../../membership/seeded-random.js';

const leastDelayMs = 1;
const delayRangeMs = 4;

/** Delays, losses and cuts between the parts of a mesh, drawn from a seed. */
export class MeshConditions {
	/** Share of answers between nodes that are lost after the work was done. */
	lostAnswerShare = 0;
	/** Most that each message is late besides. */
	extraDelayMs = 0;
	/** Share of the store's answers that are lost after the change took effect. */
	lostStoreAnswerShare = 0;
	/** Node whose compare-and-swaps of shard tables wait until `heldSwaps` settles. */
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

	/** The time that a message takes. */
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
