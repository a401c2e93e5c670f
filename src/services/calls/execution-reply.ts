import {type WireError} from '../../base/wire-error.js';
import {type UpstreamLoad} from '../admission/upstream-load.js';
import {type CallAnswer} from './call-answer.js';

/** Reply of the node whose backend server was to execute a call: an answer or a failure, never both. */
export type ExecutionReply = {
	readonly answer?: CallAnswer;
	readonly failure?: WireError;
	readonly load: UpstreamLoad;
};
