import {type GraphPlan, type NodePlan} from './graph-plan.js';
import {samplePolicy} from './sample-policy.js';

const services: ReadonlyArray<Omit<NodePlan, 'nodeId' | 'availabilityZone'>> = [
	{service: 'catalogue', slots: 16, serviceTimeMs: 2},
	{
		service: 'hire-desk', slots: 16, serviceTimeMs: 4, calls: ['POST /job-sheets'],
	},
	{service: 'dispatch', slots: 16, serviceTimeMs: 4},
];

/** Six nodes in two availability zones, with an upstream of each service in each zone. */
export function samplePlan(seed: number, nodeFlags: readonly string[] = []): GraphPlan {
	const zones = ['north', 'south'];
	const nodes = zones.flatMap(availabilityZone => services.map(service => ({
		...service,
		nodeId: `${availabilityZone}-${service.service}`,
		availabilityZone,
	})));
	return {
		nodes,
		policy: samplePolicy,
		nodeFlags,
		seed,
	};
}
