// A node that grants every retry.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {RetryService} from '../../src/services/retries/retry-service.js';
import {UnlimitedRetryService} from './unlimited-retry-service.js';

process.exit(await runNodeProgram(settings => createKernel(settings) // eslint-disable-line unicorn/no-process-exit
	.register(RetryService, UnlimitedRetryService)));
