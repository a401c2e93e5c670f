import {type OverloadSetup} from './overload-setup.js';

const msPerSecond = 1000;

/** Requests a second that the slow service can complete outside the trigger. */
export function capacityOf({nodes, slowService}: OverloadSetup): number {
	let perSecond = 0;
	for (const {service, slots, serviceTimeMs} of nodes) {
		if (service === slowService) {
			perSecond += slots * msPerSecond / serviceTimeMs;
		}
	}

	return perSecond;
}
