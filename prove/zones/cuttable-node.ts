// A node whose zone SIGUSR2 cuts off from the others, and joins again.
import process from 'node:process';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {createCuttableKernel} from './create-cuttable-kernel.js';

process.exit(await runNodeProgram(settings => createCuttableKernel(settings))); // eslint-disable-line unicorn/no-process-exit
