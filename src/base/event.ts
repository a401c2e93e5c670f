import {type Disposable} from './disposable.js';

/** Subscribes a listener; the returned disposable removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;
