// Program `kumquatline-node`: one process on each backend server VM.
import process from 'node:process';
import {createKernel} from './create-kernel.js';
import {runNodeProgram} from './run-node-program.js';

// Left to itself, a program whose sockets linger would not end.
process.exit(await runNodeProgram(createKernel)); // eslint-disable-line unicorn/no-process-exit
