/** Owns a resource that has to be released, such as a listener, a timer or a socket. */
export interface Disposable {
	dispose(): void;
}
