import {type GraphPlan} from '../../standins/graph/graph-plan.js';

/** An entry node that does not serve the operations itself, and one upstream in the same availability zone whose answers have at least `answerBytes` bytes. */
export function addedLatencyPlan(seed: number, answerBytes: number): GraphPlan {
	return {
		seed,
		nodes: [
			{
				nodeId: 'entry', availabilityZone: 'zone-a', service: 'catalogue', slots: 8, serviceTimeMs: 0,
			},
			{
				nodeId: 'upstream', availabilityZone: 'zone-a', service: 'hire-desk', slots: 8, serviceTimeMs: 0, backendFlags: ['--answer-bytes', String(answerBytes)],
			},
		],
		policy: {
			version: 1,
			services: [{name: 'catalogue'}, {name: 'hire-desk'}],
			operations: [
				{
					name: 'read-stock', method: 'GET', path: '/stock/:panel', service: 'hire-desk', importance: 'sheddable', idempotent: true, timeoutMs: 2000,
				},
				{
					name: 'book', method: 'POST', path: '/bookings', service: 'hire-desk', importance: 'critical', idempotent: false, timeoutMs: 5000,
				},
			],
			callers: [{name: 'foreman', patienceMs: 3000, retryTotal: 2}],
		},
	};
}
