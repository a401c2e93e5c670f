/** How this node learnt that the policy in force is the newest one. */
export enum Confirmation {
	/** It has read the store. */
	Store = 'store',
	/** A peer has told it. */
	Peer = 'peer',
}
