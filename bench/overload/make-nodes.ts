import {type NodePlan} from '../../standins/graph/graph-plan.js';

/** Upstreams of one service, with the slots and mean service time of each. */
export type UpstreamSizes = {
	readonly service: string;
	readonly calls?: readonly string[];
	readonly sizes: ReadonlyArray<readonly [slots: number, serviceTimeMs: number]>;
	readonly connections: number;
};

/** Plans a node for each upstream, assigning availability zones round-robin. */
export function makeNodes(services: readonly UpstreamSizes[], zones: readonly string[]): NodePlan[] {
	return services.flatMap(({service, calls, sizes, connections}) => sizes.map(([slots, serviceTimeMs], index) => ({
		nodeId: `${service}-${index + 1}`,
		availabilityZone: zones[index % zones.length],
		service,
		slots,
		serviceTimeMs,
		calls,
		backendFlags: ['--connections', String(connections)],
	})));
}
