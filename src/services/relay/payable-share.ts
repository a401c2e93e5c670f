/**
Fraction of the requests for a service whose retries a budget can pay for until they are served, if each attempt is refused at random.

A request takes `refusalRate / (1 - refusalRate)` retries in the mean.
*/
export function payableShare(retriesPerRequest: number, refusalRate: number): number {
	return refusalRate === 0 ? 1 : Math.min(1, retriesPerRequest * (1 - refusalRate) / refusalRate);
}
