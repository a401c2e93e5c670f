import process from 'node:process';

/** Whether this process's availability zone is cut off from the others; a signal begins and ends the cut. */
export class ZoneCut {
	private isCut = false;
	private changes = 0;

	constructor(private readonly availabilityZone: string) {
		process.on('SIGUSR2', () => {
			this.isCut = !this.isCut;
			this.changes++;
		});
	}

	/** Changes so far, to tell whether a cut fell into some time. */
	get changeCount(): number {
		return this.changes;
	}

	/** Whether nothing gets through to a node; node ids begin with their zone. */
	separates(nodeId: string): boolean {
		return this.isCut && !nodeId.startsWith(`${this.availabilityZone}-`);
	}
}
