import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type CallRequest} from './call-request.js';
import {type ExecutionReply} from './execution-reply.js';

/** Executes a call on the receiving node's own backend server. */
export const executeMethod = new PeerMethod<CallRequest, ExecutionReply>('execute');
