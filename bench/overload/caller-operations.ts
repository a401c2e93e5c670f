import {type CallerOperation} from '../../standins/caller/caller-operation.js';

/** One operation per importance, with its weight in the load. */
export const callerOperations: readonly CallerOperation[] = [
	{
		name: 'charge', method: 'POST', path: '/charges', weight: 0.1, caller: 'foreman',
	},
	{
		name: 'job-sheet', method: 'GET', path: '/job-sheets', weight: 0.15, caller: 'foreman',
	},
	{
		name: 'booking', method: 'POST', path: '/bookings', weight: 0.25, caller: 'foreman',
	},
	{
		name: 'browsing', method: 'GET', path: '/stock', weight: 0.5, caller: 'foreman',
	},
];
