/** Source of the confirmation that the policy in force is the newest one. */
export enum ConfirmationSource {
	Store = 'store',
	Peer = 'peer',
}
