import {type StoreListing} from './store-service.js';

/** Options of a watch; each renewal of the watch and each answer with changes takes one call to the store. */
export type WatchOptions = {
	/** Time after which a watch without changes is renewed. */
	readonly checkIntervalMs?: number;
	/** Time for which changes are collected after reported ones, so that a series of changes takes few calls. */
	readonly collectMs?: number;
	/** State that is known already; without it, the watch begins with a listing. */
	readonly known?: StoreListing;
};
