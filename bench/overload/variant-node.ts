// The node program with mechanisms replaced by simpler variants, one for each `--without NAME`; other flags go to the node.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {simplerVariants} from './simpler-variants.js';

const names = process.argv.flatMap((value, index, values) => values[index - 1] === '--without' ? [value] : []);
process.argv = process.argv.filter((value, index, values) => value !== '--without' && values[index - 1] !== '--without');

// Open sockets would keep the process alive.
// eslint-disable-next-line unicorn/no-process-exit
process.exit(await runNodeProgram(settings => {
	const kernel = createKernel(settings);
	for (const name of names) {
		const replace = simplerVariants.get(name);
		if (!replace) {
			throw new Error(`unknown simpler variant: ${name}`);
		}

		replace(kernel);
	}

	return kernel;
}));
