import {type z} from 'zod';
import {type routeDocument} from '../policy/route-document.js';

/** A declared route: which requests match it, which services they are sent to and how long they may take. */
export type Route = Readonly<z.infer<typeof routeDocument>>;
