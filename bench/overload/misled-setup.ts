import {type OverloadSetup} from './overload-setup.js';
import {smallSetup} from './small-setup.js';

/** The small setup with slow cold starts and one backend server that announces three times the slots it has. */
export const misledSetup: OverloadSetup = {
	...smallSetup,
	name: 'misled',
	scale: `${smallSetup.scale}; returns-2 announces 12 slots and has 4, and every backend server of returns begins cold`,
	nodes: smallSetup.nodes.map(node => {
		if (node.service !== smallSetup.slowService) {
			return node;
		}

		const misleading = node.nodeId === 'returns-2' ? ['--announced-slots', '12'] : [];
		return {...node, backendFlags: [...node.backendFlags ?? [], '--cold-start-ms', '2000', ...misleading]};
	}),
};
