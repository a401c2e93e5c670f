/** Identifies a service and, as a parameter decorator, marks the constructor parameter that receives it. */
export interface ServiceId<T> {
	(target: WeakKey, key: string | symbol | undefined, index: number): void;
	readonly serviceName: string;
	/** Only holds the type; it never has a value. */
	readonly type?: T;
}
