/** Time that a confirmation may take between two nodes without being counted in its age. */
const transitAllowanceMs = 20;

/** Knows until when the store is certain to have held no version newer than the one in force at this node. */
export class VersionConfirmation {
	private confirmedAtMs = Number.NEGATIVE_INFINITY;

	get atMs(): number {
		return this.confirmedAtMs;
	}

	/** Records that the store held no newer version at a time; returns by how much that is later than the time known before, in milliseconds. */
	record(atMs: number): number {
		const gainMs = atMs - this.confirmedAtMs;
		this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
		return gainMs;
	}

	/** Records a confirmation that a peer knows and that had this age when the peer sent it. */
	recordOfPeer(ageMs: number, nowMs: number): number {
		return this.record(nowMs - ageMs - transitAllowanceMs);
	}
}
