import {ModelGraph} from './model-graph.js';

/** Requests per second by route, as callers of the archery ranges send them on a busy day. */
const rates = {
	lookup: 241, booking: 95, issue: 67, charge: 24,
};

/** Slots of a backend server of the ledger, the service at the end of every call chain. */
export const ledgerSlots = 39;

/** Creates a graph with the topology and size of that of the archery ranges: call chains of four services that end in five calls to the smallest one. */
export function createLahoreModel(options: {readonly seed?: number; readonly messageMs?: number} = {}): ModelGraph {
	return new ModelGraph({
		zones: ['zone-a', 'zone-b', 'zone-c'],
		services: [
			{name: 'scoreboard', slots: 131, speeds: [0.7, 0.7, 1.7, 0.7]},
			{name: 'lanedesk', slots: 174, speeds: [0.5, 1, 1]},
			{name: 'armoury', slots: 174, speeds: [0.5, 1, 1]},
			{name: 'ledger', slots: ledgerSlots, speeds: [1, 1, 1]},
		],
		routes: [
			{
				name: 'lookup', service: 'scoreboard', workMs: 120, calls: ['roster'], timeoutMs: 800, priority: 2, idempotent: true,
			},
			{
				name: 'booking', service: 'lanedesk', workMs: 160, calls: ['stock'], timeoutMs: 1000, priority: 0, idempotent: false,
			},
			{
				name: 'issue', service: 'armoury', workMs: 84, calls: [], timeoutMs: 1000, priority: 0, idempotent: false,
			},
			{
				name: 'charge', service: 'ledger', workMs: 96, calls: [], timeoutMs: 1000, priority: 2, idempotent: false,
			},
			{
				name: 'roster', service: 'lanedesk', workMs: 15, calls: ['stock'], timeoutMs: 3000, priority: 2, idempotent: true,
			},
			{
				name: 'stock', service: 'armoury', workMs: 15, calls: ['balance', 'balance', 'balance', 'balance', 'balance'], timeoutMs: 2500, priority: 2, idempotent: true,
			},
			{
				name: 'balance', service: 'ledger', workMs: 30, calls: [], timeoutMs: 700, priority: 2, idempotent: true,
			},
		],
		...options,
	});
}

/** Returns the demand of that busy day, multiplied by a factor. */
export function lahoreDemand(factor: number) {
	return [
		{
			route: 'lookup', perSecond: rates.lookup * factor, goalMs: 1500, patienceMs: 6000,
		},
		{
			route: 'booking', perSecond: rates.booking * factor, goalMs: 1500, patienceMs: 6000,
		},
		{
			route: 'issue', perSecond: rates.issue * factor, goalMs: 250, patienceMs: 1000,
		},
		{
			route: 'charge', perSecond: rates.charge * factor, goalMs: 300, patienceMs: 1200,
		},
	];
}
