// A node that sends requests to upstreams only while it can renew its lease in the store.
import process from 'node:process';
import {runNodeProgram} from '../../src/programs/node/run-node-program.js';
import {createPartitionableKernel} from './create-partitionable-kernel.js';
import {StoreDependentMembershipService} from './store-dependent-membership-service.js';

process.exit(await runNodeProgram(settings => createPartitionableKernel(settings, StoreDependentMembershipService))); // eslint-disable-line unicorn/no-process-exit
