// Program `kumquatline-node`: one process on each backend server VM.
import process from 'node:process';
import {settingsPath} from '../../platform/settings/settings-path.js';
import {createKernel} from './create-kernel.js';
import {runNodeProgram} from './run-node-program.js';
import {runOnPlatform} from './run-on-platform.js';

const path = settingsPath();

// Left to itself, a program whose sockets linger would not end.
process.exit(await (path === undefined ? runNodeProgram(createKernel) : runOnPlatform(path))); // eslint-disable-line unicorn/no-process-exit
