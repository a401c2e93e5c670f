import {type Disposable} from '../../base/disposable.js';

/** The bytes of a `BodyBudget` that one body uses until the reservation is disposed. */
export interface BodyReservation extends Disposable {
	/** Adds bytes to the reservation; throws `overloaded` if they exceed the budget. */
	reserve(bytes: number): void;
}
