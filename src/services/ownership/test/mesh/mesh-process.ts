import {Deferred} from '../../../../base/deferred.js';

/** Process of one incarnation of a node, for fault injection: it can be killed, frozen and cut off from the store. */
export class MeshProcess {
	isStoreCut = false;
	/** Resolved when the process is killed. */
	readonly killed = new Deferred<void>();
	private dead = false;
	private thawed: Deferred<void> | undefined;

	constructor(readonly nodeId: string, readonly incarnation: string) {}

	get isKilled(): boolean {
		return this.dead;
	}

	get isFrozen(): boolean {
		return this.thawed !== undefined;
	}

	kill(): void {
		this.dead = true;
		this.killed.resolve();
		this.thaw();
	}

	freeze(): void {
		this.thawed ??= new Deferred<void>();
	}

	thaw(): void {
		this.thawed?.resolve();
		this.thawed = undefined;
	}

	/** Resolves when the process is not frozen; never if it was killed. */
	async running(): Promise<void> {
		while (this.thawed) {
			await this.thawed.promise;
		}

		if (this.dead) {
			await new Promise<never>(() => {
				// Never settles: the process was killed.
			});
		}
	}
}
