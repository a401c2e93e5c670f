import {type CallContext} from '../calls/call-context.js';
import {importanceRanks} from '../policy/importance-ranks.js';
import {rootShare} from './root-share.js';

/** Whether a call passes a threshold: calls of a higher importance do, those of a lower one do not, and at the threshold's own importance a fraction of the root ids does. */
export function admitsAt(threshold: number, {importance, rootId}: CallContext): boolean {
	const rank = importanceRanks[importance];
	return rank + rootShare(rootId) >= threshold;
}
