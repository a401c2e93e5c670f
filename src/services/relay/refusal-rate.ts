/** Time constant of the exponential decay: a change is known after a second, at a hundred attempts a second from some fifty of them. */
const decayTimeConstantMs = 500;
/** Successful attempts that are assumed in addition, so that a few refusals don't count as a rate. */
const assumedSuccesses = 2;
const minSignificantAttempts = 20;

/**
Recent fraction of the attempts at a service that its backend servers refused despite free capacity.

Answers a service whose backend servers all refuse at random: unlike a full queue, this doesn't depend on the load, and each attempt has
the same chance.
*/
export class RefusalRate {
	private attempts = 0;
	private refusals = 0;
	private decayedAtMs = performance.now();

	get rate(): number {
		this.decay();
		return this.refusals / (this.attempts + assumedSuccesses);
	}

	/** Whether there are enough recent attempts to tell other nodes of the rate. */
	get isSignificant(): boolean {
		this.decay();
		return this.attempts >= minSignificantAttempts;
	}

	recordAttempt(isRefused: boolean): void {
		this.decay();
		this.attempts++;
		this.refusals += isRefused ? 1 : 0;
	}

	private decay(): void {
		const nowMs = performance.now();
		const decayFactor = Math.exp(-(nowMs - this.decayedAtMs) / decayTimeConstantMs);
		this.decayedAtMs = nowMs;
		this.attempts *= decayFactor;
		this.refusals *= decayFactor;
	}
}
