/** Prefix of the keys that nodes register under; the node id follows. */
export const registrationPrefix = '/kumquatline/nodes/';
