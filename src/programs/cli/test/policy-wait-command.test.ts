import {createServer} from 'node:http';
import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import test from 'ava';
import {ExitStatus} from '../exit-status.js';
import {runCli} from '../run-cli.js';

const ignore = {
	stdout() {/* Not checked. */},
	stderr() {/* Not checked. */},
};

// On a busy machine the last question of a wait got no answer in the time that was left, and the command ended as if the node were unreachable.
test('a wait whose time runs out during a question ends with the status of a wait', async t => {
	let questions = 0;
	const server = createServer((_request, response) => {
		questions++;
		if (questions === 1) {
			response.end(JSON.stringify({
				self: {
					nodeId: 'node', incarnation: 'node-1', availabilityZone: 'a', region: 'perth-metro', address: '127.0.0.1', callerPort: 1, state: 'serving', slots: 1, policyVersion: 0,
				}, policyVersion: 0, storeReachable: true, members: [],
			}));
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const {port} = server.address() as AddressInfo;
	const status = await runCli(['policy', 'wait', '1', '--timeout-ms', '2000', '--node', `http://127.0.0.1:${port}`], ignore);
	t.is(questions, 2);
	t.is(status, ExitStatus.WaitTimedOut);
});
