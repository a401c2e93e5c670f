/** Rank of requests with priority 0; each further step of priority subtracts 1, down to 0. */
const highestRank = 4;

/** Rank of the requests of a priority class, where 0 is the highest priority. */
export function classRank(priority: number): number {
	return Math.max(0, highestRank - priority);
}
