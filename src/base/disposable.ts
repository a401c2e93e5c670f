/** Owns something that has to be released: a listener, a timer or a socket. */
export interface Disposable {
	dispose(): void;
}
