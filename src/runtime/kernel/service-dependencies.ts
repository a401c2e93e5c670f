import {type ServiceId} from './service-id.js';

/** Services that each constructor asks for, by parameter index. */
export const serviceDependencies = new WeakMap<WeakKey, Map<number, ServiceId<unknown>>>();
