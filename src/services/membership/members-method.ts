import {PeerMethod} from '../../runtime/peer/peer-method.js';

/** Returns all members known to a node; called by nodes that join while the store is unreachable. */
export const membersMethod = new PeerMethod<Record<string, never>, {readonly members: readonly unknown[]}>('members');
