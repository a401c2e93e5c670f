import {type ServiceId} from './service-id.js';

/** Services that each constructor depends on, by parameter index. */
export const serviceDependencies = new WeakMap<WeakKey, Map<number, ServiceId<unknown>>>();
