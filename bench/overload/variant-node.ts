// The node program with one decision replaced by its simpler form: `--without NAME` before the node's own flags.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {simplerForms} from './simpler-forms.js';

const names = process.argv.flatMap((value, index, values) => values[index - 1] === '--without' ? [value] : []);
process.argv = process.argv.filter((value, index, values) => value !== '--without' && values[index - 1] !== '--without');

// Left to itself, a program whose sockets linger would not end.
// eslint-disable-next-line unicorn/no-process-exit
process.exit(await runNodeProgram(settings => {
	const kernel = createKernel(settings);
	for (const name of names) {
		const replace = simplerForms.get(name);
		if (!replace) {
			throw new Error(`no simpler form is called ${name}`);
		}

		replace(kernel);
	}

	return kernel;
}));
