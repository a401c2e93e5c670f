import {callerOperations} from './caller-operations.js';
import {chainCalls} from './chain-calls.js';
import {type ChainServices} from './chain-services.js';
import {makeNodes} from './make-nodes.js';
import {makePolicy} from './make-policy.js';
import {type OverloadSetup} from './overload-setup.js';

const services: ChainServices = {
	entry: 'hire-desk', second: 'dispatch', third: 'catalogue', last: 'returns',
};
const calls = chainCalls(services);

/** Nine backend servers of different sizes in two availability zones; runs on small machines. */
export const smallSetup: OverloadSetup = {
	name: 'small',
	scale: 'Perth with 9 of 17 upstreams and about a quarter of the slots',
	nodes: makeNodes([
		{
			service: 'hire-desk', calls: calls['hire-desk'], sizes: [[20, 10], [28, 15]], connections: 260,
		},
		{
			service: 'dispatch', calls: calls.dispatch, sizes: [[20, 10], [28, 15]], connections: 260,
		},
		{
			service: 'catalogue', calls: calls.catalogue, sizes: [[20, 8], [28, 12]], connections: 220,
		},
		{
			service: 'returns', sizes: [[3, 100], [4, 125], [5, 150]], connections: 100,
		},
	], ['north', 'south']),
	policy: makePolicy(services),
	operations: callerOperations,
	slowService: 'returns',
	slowFactor: 3,
	oneWayDelayMs: 8,
	usualLoadFraction: 0.7,
	surgeFactor: 3,
};
