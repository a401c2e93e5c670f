// A node that sends requests to upstreams only while it can renew its lease in the store.
import process from 'node:process';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {createCuttableKernel} from './create-cuttable-kernel.js';
import {StoreBoundMembershipService} from './store-bound-membership-service.js';

process.exit(await runNodeProgram(settings => createCuttableKernel(settings, StoreBoundMembershipService))); // eslint-disable-line unicorn/no-process-exit
