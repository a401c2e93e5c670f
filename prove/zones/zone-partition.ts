import process from 'node:process';

/** Whether this process's availability zone is partitioned from the others; a signal starts and ends the partition. */
export class ZonePartition {
	private isPartitioned = false;
	private changes = 0;

	constructor(private readonly availabilityZone: string) {
		process.on('SIGUSR2', () => {
			this.isPartitioned = !this.isPartitioned;
			this.changes++;
		});
	}

	/** Number of changes so far, to detect whether a partition started or ended in between. */
	get changeCount(): number {
		return this.changes;
	}

	/** Whether a node is unreachable; node ids start with their zone. */
	separates(nodeId: string): boolean {
		return this.isPartitioned && !nodeId.startsWith(`${this.availabilityZone}-`);
	}
}
