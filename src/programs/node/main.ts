// The program `kumquatline-node`: one process on each VM that has a backend server.
import process from 'node:process';
import {settingsPath} from '../../platform/settings/settings-path.js';
import {createKernel} from './create-kernel.js';
import {runNodeProgram} from './run-node-program.js';
import {runOnPlatform} from './run-on-platform.js';

const path = settingsPath();

// Exits explicitly, as sockets that are still open would keep the process running.
process.exit(await (path === undefined ? runNodeProgram(createKernel) : runOnPlatform(path))); // eslint-disable-line unicorn/no-process-exit
