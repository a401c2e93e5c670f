// A node that exits immediately on SIGTERM.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';

process.once('SIGTERM', () => {
	process.exit(0);
});

process.exit(await runNodeProgram(createKernel)); // eslint-disable-line unicorn/no-process-exit
