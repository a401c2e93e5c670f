import {parseArgs} from 'node:util';
import process from 'node:process';
import {StoreStandIn} from './store-stand-in.js';

/** The store stand-in as a program: prints a line of JSON with its port, then serves until SIGTERM or SIGINT. */
const {values} = parseArgs({options: {port: {type: 'string', default: '0'}}});
const store = new StoreStandIn();
await store.listen(Number(values.port));
console.log(JSON.stringify({ready: true, port: store.port}));
for (const name of ['SIGTERM', 'SIGINT'] as const) {
	process.once(name, () => {
		store.dispose();
	});
}
