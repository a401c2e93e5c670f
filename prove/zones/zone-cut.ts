import process from 'node:process';

/** Whether this process's availability zone is partitioned from the others; a signal starts and ends the partition. */
export class ZoneCut {
	private isCut = false;
	private changes = 0;

	constructor(private readonly availabilityZone: string) {
		process.on('SIGUSR2', () => {
			this.isCut = !this.isCut;
			this.changes++;
		});
	}

	/** Number of changes so far, to detect whether a partition started or ended in between. */
	get changeCount(): number {
		return this.changes;
	}

	/** Whether a node is unreachable; node ids start with their zone. */
	separates(nodeId: string): boolean {
		return this.isCut && !nodeId.startsWith(`${this.availabilityZone}-`);
	}
}
