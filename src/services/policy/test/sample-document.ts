/** A small policy in the form that operators write. */
export const sampleDocument = {
	services: [{name: 'catalogue'}, {name: 'hire-desk'}],
	operations: [
		{
			name: 'stock', method: 'GET', path: '/stock/:item', service: 'catalogue', importance: 'sheddable', idempotent: true, timeoutMs: 2000,
		},
		{
			name: 'extend', method: 'POST', path: '/hires/:hire/extend', service: 'hire-desk', importance: 'critical', idempotent: false, timeoutMs: 5000, calls: ['catalogue'],
		},
	],
	callers: [{name: 'foreman', patienceMs: 5000, retryTotal: 2}],
};
