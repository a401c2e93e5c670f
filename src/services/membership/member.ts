import {type PeerAddress} from '../../runtime/peer/peer-address.js';
import {type MemberState} from './member-state.js';

/** One run of a node as membership knows it. */
export type Member = PeerAddress & {
	readonly availabilityZone: string;
	readonly region: string;
	readonly gossipPort: number;
	readonly callerPort: number;
	readonly state: MemberState;
	/** Service that the VM's backend server serves, once announced. */
	readonly service?: string;
	readonly slots: number;
	readonly connections: number;
	readonly policyVersion: number;
	/** Raised by the member at each change of its own record. */
	readonly revision: number;
};
