import {PeerMethod} from '../../runtime/peer/peer-method.js';

/** Every member that a node knows; asked by a node that joins while the store is away. */
export const membersMethod = new PeerMethod<Record<string, never>, {readonly members: readonly unknown[]}>('members');
