import {serviceDependencies} from './service-dependencies.js';
import {type ServiceId} from './service-id.js';

/** Creates the identifier under which implementations of a service interface are registered and found. */
export function createServiceId<T>(serviceName: string): ServiceId<T> {
	const id = (target: WeakKey, _key: string | symbol | undefined, index: number): void => {
		const dependencies = serviceDependencies.get(target) ?? new Map<number, ServiceId<unknown>>();
		dependencies.set(index, id as ServiceId<unknown>);
		serviceDependencies.set(target, dependencies);
	};

	return Object.assign(id, {serviceName});
}
