import {type CallerOperation} from '../../standins/caller/caller-operation.js';
import {type NodePlan} from '../../standins/graph/graph-plan.js';

/** A call graph with its load and its trigger. */
export type OverloadSetup = {
	readonly name: string;
	/** How the sizes relate to those of the business it stands for. */
	readonly scale: string;
	readonly nodes: readonly NodePlan[];
	readonly policy: Readonly<Record<string, unknown>>;
	readonly operations: readonly CallerOperation[];
	/** Service that slows; each request is served by it once. */
	readonly slowService: string;
	readonly slowFactor: number;
	/** Time between callers and nodes. */
	readonly oneWayDelayMs: number;
	/** Part of the slow service's usual capacity that is asked for outside the trigger. */
	readonly usualLoadShare: number;
	/** Demand during the trigger, in multiples of what the slowed service can complete. */
	readonly surgeFactor: number;
};
