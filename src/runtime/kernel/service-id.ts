/** Names a service and, as a parameter decorator, marks where a constructor wants it. */
export interface ServiceId<T> {
	(target: WeakKey, key: string | symbol | undefined, index: number): void;
	readonly serviceName: string;
	/** Carries the type only; it never has a value. */
	readonly type?: T;
}
