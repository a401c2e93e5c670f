const msPerSecond = 1000;

/** Token bucket of bytes: limits the average rate and allows bursts. */
export class ByteBudget {
	private availableBytes: number;
	private refilledAtMs = performance.now();

	constructor(private readonly bytesPerSecond: number, private readonly burstBytes: number) {
		this.availableBytes = burstBytes;
	}

	get available(): number {
		const nowMs = performance.now();
		const refillBytes = (nowMs - this.refilledAtMs) * this.bytesPerSecond / msPerSecond;
		this.availableBytes = Math.min(this.burstBytes, this.availableBytes + refillBytes);
		this.refilledAtMs = nowMs;
		return this.availableBytes;
	}

	spend(bytes: number): void {
		this.availableBytes -= bytes;
	}
}
