import {type z} from 'zod';
import {type routeDocument} from '../policy/route-document.js';

/** One declared route: which requests it takes, where they go and how long they may last. */
export type Route = Readonly<z.infer<typeof routeDocument>>;
