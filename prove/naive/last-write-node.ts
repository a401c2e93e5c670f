// A node with a policy service in which the last write wins.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {PolicyService} from '../../src/services/policy/policy-service.js';
import {LastWritePolicyService} from './last-write-policy-service.js';

process.exit(await runNodeProgram(settings => createKernel(settings) // eslint-disable-line unicorn/no-process-exit
	.register(PolicyService, LastWritePolicyService)));
