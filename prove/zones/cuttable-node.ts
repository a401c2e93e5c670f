// A node whose zone is partitioned from the others, and reconnected, by SIGUSR2.
import process from 'node:process';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {createPartitionableKernel} from './create-partitionable-kernel.js';

process.exit(await runNodeProgram(settings => createPartitionableKernel(settings))); // eslint-disable-line unicorn/no-process-exit
