import {Emitter} from '../../../base/emitter.js';
import {type SettingsService} from '../../../runtime/settings/settings-service.js';
import {type UpstreamLoad} from '../../admission/upstream-load.js';
import {MemberState} from '../../membership/member-state.js';
import {type MembershipService} from '../../membership/membership-service.js';
import {type Member} from '../../membership/member.js';
import {policyDocument} from '../../policy/policy-document.js';
import {type PolicyService} from '../../policy/policy-service.js';
import {PolicyRoutingService} from '../policy-routing-service.js';

const policy = policyDocument.parse({
	version: 1,
	services: [{name: 'catalogue'}, {name: 'returns'}],
	operations: [{
		name: 'read-stock', method: 'GET', path: '/panels/:panelId', service: 'catalogue', importance: 'sheddable', idempotent: true, timeoutMs: 2000, calls: ['returns'],
	}],
	callers: [{name: 'foreman', patienceMs: 5000, retryTotal: 3}],
});

/** Fires member changes to every routing service created by `makeRouting`. */
export const memberChangeEmitter = new Emitter<Member>();

/** Creates the routing service of a node in availability zone `a`, with the given members as upstreams of `returns`. */
export function makeRouting(members: readonly Member[]): PolicyRoutingService {
	const settingsService = {settings: {availabilityZone: 'a', seed: 7}};
	const membership = {
		upstreams: (service: string) => service === 'returns' ? members : [],
		onDidChange: memberChangeEmitter.event,
	};
	return new PolicyRoutingService(
		settingsService as SettingsService,
		{current: policy} as unknown as PolicyService,
		membership as unknown as MembershipService,
	);
}

export function makeMember(nodeId: string, availabilityZone: string, slots: number): Member {
	return {
		nodeId,
		incarnation: '',
		address: '127.0.0.1',
		peerPort: 0,
		gossipPort: 0,
		callerPort: 0,
		region: 'perth-metro',
		availabilityZone,
		state: MemberState.Serving,
		service: 'returns',
		slots,
		connections: 100,
		policyVersion: 1,
		revision: 1,
	};
}

export function makeLoad(changes: Partial<UpstreamLoad>): UpstreamLoad {
	return {
		inFlight: 0, limit: 4, queued: 0, queueWaitMs: 0, threshold: 0, ...changes,
	};
}
