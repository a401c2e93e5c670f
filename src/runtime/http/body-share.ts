import {type Disposable} from '../../base/disposable.js';

/** What one request's body takes of a budget, until it is disposed. */
export interface BodyShare extends Disposable {
	/** Takes bytes more; throws `overloaded` when the budget has no room for them. */
	take(bytes: number): void;
}
