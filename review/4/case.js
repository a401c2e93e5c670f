import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection} from '../stand-ins/client.js';
import {runCase} from '../stand-ins/installation.js';
import {StoreProxy} from '../stand-ins/store-proxy.js';
import {Upstream} from '../stand-ins/upstream.js';

const host = 'hire.example';
const configMs = 2000;
const contactMs = 3000;
const idleMs = 3000;
const intervalMs = 100;
const requests = 40;

await runCase(path.join(import.meta.dirname, 'record.txt'), async (installation, trouble) => {
	const proxy = new StoreProxy(installation.store.port);
	await proxy.listen();
	installation.storePort = proxy.port;
	const route = {
		name: 'hire-extend', host, prefix: '/app/', kind: 'mutating', timeoutS: 5, goalS: 1.5, priority: 0, attempts: 2,
	};
	installation.configure(7, [{...route, service: 'hire-desk'}], ['hire-desk', 'catalogue']);
	const machines = [];
	for (const [index, service] of ['hire-desk', 'catalogue', 'hire-desk', 'catalogue'].entries()) {
		machines.push(await installation.addMachine(`sidecar-a-${index + 1}`, 'zone-a', service, index > 0 && {portRange: machines[0].firstPort}));
	}

	await Promise.all(machines.map(async machine => {
		await machine.startNode();
		machine.upstream = new Upstream(machine, `i-${machine.name}`);
		await machine.upstream.start();
	}));
	// All watches have been waiting for longer than this by then.
	await sleep(idleMs + 300);
	if (trouble) {
		installation.record('network', `loses track of ${proxy.loseIdle(idleMs)} idle connections to the store`);
	}

	await sleep(contactMs + 50);
	installation.configure(12, [{...route, service: 'catalogue'}], ['hire-desk', 'catalogue']);
	const confirmedAtMs = performance.now();
	await sleep(configMs + 50);
	const sent = [];
	for (let count = 1; count <= requests; count++) {
		const id = `extend-${count}`;
		const client = new ClientConnection(machines[count % machines.length], installation);
		client.send({
			method: 'POST', host, target: '/app/20/200', id, deadlineMs: 5000, body: 'days=3',
		});
		sent.push({id, client, sinceMs: performance.now() - confirmedAtMs});
		await sleep(intervalMs);
	}

	const breaches = [];
	for (const {id, client, sinceMs} of sent) {
		await client.whenAnswered(id, 3000);
		const ran = machines.find(({upstream}) => upstream.runs.some(run => run.id === id));
		if (ran?.service === 'hire-desk') {
			breaches.push(`CONFIG: ${id}, sent ${(sinceMs / 1000).toFixed(2)} s after r12 was confirmed, was run by hire-desk, which only r7 allows`);
		}
	}

	for (const {upstream} of machines) {
		upstream.stop();
	}

	proxy.stop();
	return breaches;
});
