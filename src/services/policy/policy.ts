import {type z} from 'zod';
import {type policyDocument} from './policy-document.js';

/** A validated policy. */
export type Policy = Readonly<z.infer<typeof policyDocument>>;
