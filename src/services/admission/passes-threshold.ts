import {type CallContext} from '../calls/call-context.js';
import {importanceRanks} from '../policy/importance-ranks.js';
import {rootRank} from './root-rank.js';

/** Whether a call passes a threshold: calls of a higher importance do, those of a lower one do not, and at the threshold's own importance a fraction of the root ids does. */
export function passesThreshold(threshold: number, {importance, rootId}: CallContext): boolean {
	const importanceRank = importanceRanks[importance];
	return importanceRank + rootRank(rootId) >= threshold;
}
