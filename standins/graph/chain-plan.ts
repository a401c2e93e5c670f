import {type GraphPlan, type NodePlan} from './graph-plan.js';

type ChainOptions = {
	readonly depth: number;
	readonly upstreamsPerService: number;
	readonly retryTotal: number;
	readonly nodeFlags: readonly string[];
	readonly seed: number;
};

/** A chain of reads, in which `/level-1` calls `/level-2` and so on; the upstreams of a service are in different availability zones. */
export function chainPlan({depth, upstreamsPerService, retryTotal, nodeFlags, seed}: ChainOptions): GraphPlan {
	const levels = Array.from({length: depth}, (_, index) => index + 1);
	const nodes = levels.flatMap(level => Array.from({length: upstreamsPerService}, (_, zone): NodePlan => ({
		nodeId: `level-${level}-zone-${zone + 1}`,
		availabilityZone: `zone-${zone + 1}`,
		service: `level-${level}`,
		slots: 32,
		serviceTimeMs: 2,
		calls: level < depth ? [`GET /level-${level + 1}`] : [],
	})));
	const operations = levels.map(level => ({
		name: `read-level-${level}`,
		method: 'GET',
		path: `/level-${level}`,
		service: `level-${level}`,
		importance: 'normal',
		idempotent: true,
		timeoutMs: 5000,
	}));
	return {
		nodes,
		policy: {
			version: 1,
			services: levels.map(level => ({name: `level-${level}`})),
			operations,
			callers: [{name: 'clerk', patienceMs: 5000, retryTotal}],
			retryShare: 1,
		},
		nodeFlags,
		seed,
	};
}
