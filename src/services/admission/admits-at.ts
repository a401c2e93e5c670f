import {type CallContext} from '../calls/call-context.js';
import {importanceRanks} from '../policy/importance-ranks.js';
import {rootShare} from './root-share.js';

/** Whether work passes a threshold: a higher rank does, a lower does not, and of the very rank a share of the root ids. */
export function admitsAt(threshold: number, {importance, rootId}: CallContext): boolean {
	const rank = importanceRanks[importance];
	return rank + rootShare(rootId) >= threshold;
}
