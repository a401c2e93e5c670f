/** Prefix of the registration keys in the store; followed by the node id. */
export const registrationPrefix = '/kumquatline/nodes/';
