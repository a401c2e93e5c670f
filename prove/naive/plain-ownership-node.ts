// A node that executes every attempt at any upstream and grants every retry.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {OwnershipService} from '../../src/services/ownership/ownership-service.js';
import {RetryService} from '../../src/services/retries/retry-service.js';
import {PlainOwnershipService} from './plain-ownership-service.js';
import {UnlimitedRetryService} from './unlimited-retry-service.js';

process.exit(await runNodeProgram(settings => createKernel(settings) // eslint-disable-line unicorn/no-process-exit
	.register(OwnershipService, PlainOwnershipService)
	.register(RetryService, UnlimitedRetryService)));
