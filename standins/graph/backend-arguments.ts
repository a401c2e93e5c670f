import {fileURLToPath} from 'node:url';
import {type NodePlan} from './graph-plan.js';

const backendFile = fileURLToPath(new URL('../backend-server/main.js', import.meta.url));

/** Returns the program file and the flags of the plan's backend server stand-in, whose node is at `nodeBackendUrl`. */
export function backendArguments(plan: NodePlan, nodeBackendUrl: string, seed: number): string[] {
	const {service, slots, serviceTimeMs, availabilityZone, calls = [], backendFlags = []} = plan;
	return [
		backendFile,
		'--node-backend-url',
		nodeBackendUrl,
		'--service',
		service,
		'--slots',
		String(slots),
		'--service-time-ms',
		String(serviceTimeMs),
		'--zone',
		availabilityZone,
		'--seed',
		String(seed),
		...calls.flatMap(call => ['--calls', call]),
		...backendFlags,
	];
}
