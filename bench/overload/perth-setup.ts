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

/** Model of Perth: all upstreams in four availability zones, with a fifth of the slots and connections. */
export const perthSetup: OverloadSetup = {
	name: 'perth',
	scale: 'all 17 upstreams; slots and connections 1:5 (catalogue 55/440, hire-desk and dispatch 70/520, returns 15/200); no delay between zones',
	nodes: makeNodes([
		{
			service: 'hire-desk', calls: calls['hire-desk'], sizes: [[14, 5], [14, 6], [12, 7], [16, 8]], connections: 104,
		},
		{
			service: 'dispatch', calls: calls.dispatch, sizes: [[14, 5], [14, 6], [12, 7], [16, 8]], connections: 104,
		},
		{
			service: 'catalogue', calls: calls.catalogue, sizes: [[11, 4], [11, 5], [9, 6], [13, 7], [11, 8]], connections: 88,
		},
		{
			service: 'returns', sizes: [[3, 100], [3, 110], [2, 70], [4, 130]], connections: 40,
		},
	], ['perth-1', 'perth-2', 'perth-3', 'perth-4']),
	policy: makePolicy(services),
	operations: callerOperations,
	slowService: 'returns',
	slowFactor: 3,
	oneWayDelayMs: 8,
	usualLoadFraction: 0.7,
	surgeFactor: 3,
};
