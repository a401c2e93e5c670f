import {type Disposable} from '../../base/disposable.js';

/** The bytes of a byte budget that one body uses until the reservation is disposed. */
export interface BodyShare extends Disposable {
	/** Adds bytes to the reservation; throws `overloaded` if they exceed the budget. */
	take(bytes: number): void;
}
