import {PeerMethod} from '../../runtime/peer/peer-method.js';
import {type RelayReply} from './relay-reply.js';
import {type RelayRequest} from './relay-request.js';

/** Has the receiving node's own backend server run a request. */
export const relayMethod = new PeerMethod<RelayRequest, RelayReply>('relay');
