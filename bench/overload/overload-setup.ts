import {type CallerOperation} from '../../standins/caller/caller-operation.js';
import {type NodePlan} from '../../standins/graph/graph-plan.js';

/** A call graph with its load and the trigger of the overload. */
export type OverloadSetup = {
	readonly name: string;
	/** How the sizes relate to those of the modelled business. */
	readonly scale: string;
	readonly nodes: readonly NodePlan[];
	readonly policy: Readonly<Record<string, unknown>>;
	readonly operations: readonly CallerOperation[];
	/** Service that slows down during the trigger; it serves every request once. */
	readonly slowService: string;
	readonly slowFactor: number;
	/** Network delay between callers and nodes, in one direction. */
	readonly oneWayDelayMs: number;
	/** Demand outside the trigger, as a fraction of the slow service's capacity when it is not slowed. */
	readonly usualLoadFraction: number;
	/** Demand during the trigger, as a multiple of the slowed service's capacity. */
	readonly surgeFactor: number;
};
