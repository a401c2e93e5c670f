import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type MemberState} from './member-state.js';

/** Membership record of one incarnation of a node. */
export type Member = PeerAddress & {
	readonly availabilityZone: string;
	readonly region: string;
	readonly gossipPort: number;
	readonly callerPort: number;
	readonly state: MemberState;
	/** Service of the backend server on the VM; undefined until it is announced. */
	readonly service?: string;
	readonly slots: number;
	readonly connections: number;
	readonly policyVersion: number;
	/** Incremented by the member whenever its own record changes. */
	readonly revision: number;
};
