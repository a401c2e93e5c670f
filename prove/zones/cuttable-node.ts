// A node whose zone is partitioned from the others, and reconnected, by SIGUSR2.
import process from 'node:process';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {createCuttableKernel} from './create-cuttable-kernel.js';

process.exit(await runNodeProgram(settings => createCuttableKernel(settings))); // eslint-disable-line unicorn/no-process-exit
