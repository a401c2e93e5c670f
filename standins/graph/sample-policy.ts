/** Policy of the quickstart and of most test programs: a catalogue, a hire desk and its dispatch. */
export const samplePolicy = {
	version: 1,
	services: [{name: 'catalogue'}, {name: 'hire-desk'}, {name: 'dispatch'}],
	operations: [
		{
			name: 'read-stock', method: 'GET', path: '/panels/:panelId', service: 'catalogue', importance: 'sheddable', idempotent: true, timeoutMs: 2000,
		},
		{
			name: 'extend-hire', method: 'POST', path: '/extensions', service: 'hire-desk', importance: 'critical', idempotent: false, timeoutMs: 4000, calls: ['dispatch'],
		},
		{
			name: 'write-job-sheet', method: 'POST', path: '/job-sheets', service: 'dispatch', importance: 'high', idempotent: false, timeoutMs: 3000,
		},
		{
			name: 'book-delivery', method: 'POST', path: '/deliveries', service: 'dispatch', importance: 'normal', idempotent: false, timeoutMs: 3000,
		},
		{
			name: 'read-hire', method: 'GET', path: '/hires/:hireId', service: 'hire-desk', importance: 'sheddable', idempotent: true, timeoutMs: 3000,
		},
	],
	callers: [
		{name: 'foreman', patienceMs: 5000, retryTotal: 3},
		{name: 'builder', patienceMs: 8000, retryTotal: 3},
	],
};
