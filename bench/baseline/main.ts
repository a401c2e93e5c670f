// A forwarding proxy beside one backend server that makes no decision except to retry: the baseline of the overload benchmark.
import {once} from 'node:events';
import process from 'node:process';
import {ForwardingNode} from './forwarding-node.js';

const node = new ForwardingNode();
await node.listen();
console.log(JSON.stringify({ready: true, callerPort: node.callerPort, backendPort: node.backendPort}));
await once(process, 'SIGTERM');
process.exit(0); // eslint-disable-line unicorn/no-process-exit
