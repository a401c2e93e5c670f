/** Allowance for the transit time between two nodes, which the age sent with a confirmation does not include. */
const transitAllowanceMs = 20;

/** Latest time at which the store is known to have held no version newer than the one in force at this node. */
export class VersionConfirmation {
	private confirmedAtMs = Number.NEGATIVE_INFINITY;

	get atMs(): number {
		return this.confirmedAtMs;
	}

	/** Records a time at which the store held no newer version; returns the gain over the previous time in milliseconds. */
	record(atMs: number): number {
		const gainMs = atMs - this.confirmedAtMs;
		this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
		return gainMs;
	}

	/** Records a peer's confirmation, of this age when it was sent. */
	recordOfPeer(ageMs: number, nowMs: number): number {
		return this.record(nowMs - ageMs - transitAllowanceMs);
	}
}
