import {Importance} from '../../src/services/policy/importance.js';
import {type ChainServices} from './chain-services.js';

const timeoutMs = 3000;
const patienceMs = 3000;
const retryTotal = 3;

/** Creates the policy of a chain of services, with one entry operation per importance. */
export function makePolicy({entry, second, third, last}: ChainServices) {
	const calledServices = [second, third, last];
	return {
		version: 1,
		services: [entry, second, third, last].map(name => ({name})),
		operations: [
			makeOperation('charge', 'POST', '/charges', entry, Importance.Critical, calledServices),
			makeOperation('job-sheet', 'GET', '/job-sheets', entry, Importance.High, calledServices),
			makeOperation('booking', 'POST', '/bookings', entry, Importance.Normal, calledServices),
			makeOperation('browsing', 'GET', '/stock', entry, Importance.Sheddable, calledServices),
			makeOperation('plan', 'GET', '/plan', second, Importance.Normal, [third, last]),
			makeOperation('detail', 'GET', '/detail', third, Importance.Normal, [last]),
			makeOperation('price', 'GET', '/price', third, Importance.Normal, []),
			makeOperation('due', 'GET', '/due', last, Importance.Normal, []),
		],
		callers: [{name: 'foreman', patienceMs, retryTotal}],
	};
}

function makeOperation(name: string, method: 'GET' | 'POST', path: string, service: string, importance: Importance, calls: string[]) {
	return {
		name, method, path, service, importance, idempotent: method === 'GET', timeoutMs, calls,
	};
}
