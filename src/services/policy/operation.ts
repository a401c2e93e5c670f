import {type Policy} from './policy.js';

/** One declared operation of the call graph. */
export type Operation = Policy['operations'][number];
