import {type CallerOperation} from '../../standins/caller/caller-operation.js';

/** Requests of the four importance classes. */
export const callerOperations: readonly CallerOperation[] = [
	{
		name: 'charge', method: 'POST', path: '/charges', share: 0.1, caller: 'foreman',
	},
	{
		name: 'job-sheet', method: 'GET', path: '/job-sheets', share: 0.15, caller: 'foreman',
	},
	{
		name: 'booking', method: 'POST', path: '/bookings', share: 0.25, caller: 'foreman',
	},
	{
		name: 'browsing', method: 'GET', path: '/stock', share: 0.5, caller: 'foreman',
	},
];
