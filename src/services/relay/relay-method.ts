import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type RelayReply} from './relay-reply.js';
import {type RelayRequest} from './relay-request.js';

/** Executes a request at the receiving node's own backend server. */
export const relayMethod = new PeerMethod<RelayRequest, RelayReply>('relay');
