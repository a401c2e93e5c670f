import {callerOperations} from './caller-operations.js';
import {chainCalls} from './chain-calls.js';
import {type ChainServices} from './chain-services.js';
import {makeNodes} from './make-nodes.js';
import {makePolicy} from './make-policy.js';
import {type OverloadSetup} from './overload-setup.js';

const services: ChainServices = {
	entry: 'lanedesk', second: 'armoury', third: 'scoreboard', last: 'ledger',
};
const calls = chainCalls(services);

/** Model of Lahore: all upstreams in three availability zones, with a tenth of the slots and connections. */
export const lahoreSetup: OverloadSetup = {
	name: 'lahore',
	scale: 'all 13 upstreams; slots and connections 1:10 (scoreboard 110/770, lanedesk and armoury 150/1000, ledger 35/300); no delay between zones',
	nodes: makeNodes([
		{
			service: 'lanedesk', calls: calls.lanedesk, sizes: [[15, 5], [13, 6], [17, 8]], connections: 100,
		},
		{
			service: 'armoury', calls: calls.armoury, sizes: [[15, 5], [13, 6], [17, 8]], connections: 100,
		},
		{
			service: 'scoreboard', calls: calls.scoreboard, sizes: [[11, 4], [11, 5], [9, 6], [13, 8]], connections: 77,
		},
		{
			service: 'ledger', sizes: [[3, 95], [3, 105], [5, 160]], connections: 30,
		},
	], ['lahore-1', 'lahore-2', 'lahore-3']),
	policy: makePolicy(services),
	operations: callerOperations,
	slowService: 'ledger',
	slowFactor: 3,
	oneWayDelayMs: 8,
	usualLoadFraction: 0.7,
	surgeFactor: 3,
};
