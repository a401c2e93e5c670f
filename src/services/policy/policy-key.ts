/** Key of the policy in the store. */
export const policyKey = '/kumquatline/policy';
