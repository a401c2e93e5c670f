// A node that relies on its backend server's health endpoint and ignores that it announces draining.
import process from 'node:process';
import {createKernel} from '../../src/programs/node/create-kernel.js';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {BackendService} from '../../src/services/backend/backend-service.js';
import {DrainIgnoringBackendService} from './drain-ignoring-backend-service.js';

process.exit(await runNodeProgram(settings => createKernel(settings) // eslint-disable-line unicorn/no-process-exit
	.register(BackendService, DrainIgnoringBackendService)));
