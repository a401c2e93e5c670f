import {type Disposable} from '../../base/disposable.js';
import {serviceDependencies} from './service-dependencies.js';
import {type ServiceId} from './service-id.js';

type ServiceConstructor<T> = new (...services: any[]) => T;

/** Dependency injection: creates services on first use, injects them into each other by name and disposes them in reverse order. */
export class Kernel implements Disposable {
	private readonly constructors = new Map<string, ServiceConstructor<unknown>>();
	private readonly instances = new Map<string, unknown>();
	private readonly pending = new Set<string>();

	/** Registers a class; it replaces an earlier registration of the same name that was not used yet. */
	register<T>(id: ServiceId<T>, constructor: ServiceConstructor<T>): this {
		if (this.instances.has(id.serviceName)) {
			throw new Error(`service ${id.serviceName} is already in use`);
		}

		this.constructors.set(id.serviceName, constructor);
		return this;
	}

	/** Registers an existing instance, which the kernel also disposes. */
	registerInstance<T>(id: ServiceId<T>, instance: T): this {
		this.instances.set(id.serviceName, instance);
		return this;
	}

	/** Returns a service, and creates it and its dependencies if necessary. */
	get<T>(id: ServiceId<T>): T {
		const existing = this.instances.get(id.serviceName);
		if (existing !== undefined) {
			return existing as T;
		}

		const constructor = this.constructors.get(id.serviceName) as ServiceConstructor<T> | undefined;
		if (!constructor) {
			throw new Error(`service ${id.serviceName} is not registered`);
		}

		if (this.pending.has(id.serviceName)) {
			throw new Error(`service ${id.serviceName} depends on itself: ${[...this.pending].join(' → ')}`);
		}

		this.pending.add(id.serviceName);
		const instance = this.create(constructor);
		this.pending.delete(id.serviceName);
		this.instances.set(id.serviceName, instance);
		return instance;
	}

	/** Creates an object whose constructor takes only services. */
	create<T>(constructor: ServiceConstructor<T>): T {
		const dependencies = findDependencies(constructor);
		const services = [...dependencies]
			.sort(([left], [right]) => left - right)
			.map(([, id]) => this.get(id));
		return new constructor(...services);
	}

	dispose(): void {
		const instances = [...this.instances.values()].reverse();
		this.instances.clear();
		for (const instance of instances) {
			(instance as Partial<Disposable>).dispose?.();
		}
	}
}

/** The dependencies of a constructor; a class without its own constructor has those of its base class. */
function findDependencies(constructor: unknown): ReadonlyMap<number, ServiceId<unknown>> {
	if (typeof constructor !== 'function') {
		return new Map();
	}

	return serviceDependencies.get(constructor) ?? findDependencies(Object.getPrototypeOf(constructor));
}
