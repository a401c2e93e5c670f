// A forwarder beside one backend server, without any decision but to try again: what the overload bench compares with.
import {once} from 'node:events';
import process from 'node:process';
import {ForwardingNode} from './forwarding-node.js';

const node = new ForwardingNode();
await node.listen();
console.log(JSON.stringify({ready: true, callerPort: node.callerPort, backendPort: node.backendPort}));
await once(process, 'SIGTERM');
process.exit(0); // eslint-disable-line unicorn/no-process-exit
