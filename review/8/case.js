// One liveness report of another writer, with a service that no manifest names, displaces the upstream of a machine for good.
import {Buffer} from 'node:buffer';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from '../stand-ins-2/client.js';
import {runCase} from '../stand-ins-2/run-case.js';

const workMs = 20;
/** RECOVER counts requests that are sent this long after the machines are back. */
const recoveryMs = 15_000;
const requestsAfter = 200;
const requestIntervalMs = 50;
const minServedShare = 0.25;

const manifest = {
	version: 'r3',
	routes: [
		{
			name: 'stock-check', host: 'a.example', prefix: '/stock/', kind: 'idempotent', timeoutS: 3, goalS: 1.5, priority: 2, service: 'catalogue', attempts: 2,
		},
		{
			name: 'hire-extend', host: 'a.example', prefix: '/hire/', kind: 'mutating', timeoutS: 3, goalS: 1.5, priority: 0, service: 'hire-desk', attempts: 2,
		},
	],
	services: [{name: 'hire-desk', healthPath: '/health', maxConns: 586}, {name: 'catalogue', healthPath: '/health', maxConns: 490}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
	},
};

async function serve(exchange) {
	await exchange.body;
	await sleep(workMs);
	exchange.answer();
}

/** Sends requests of both kinds to all machines in turn; returns the share that was served. */
async function servedShare(installation, record, name, count) {
	const outcomes = await Promise.all(Array.from({length: count}, async (_, index) => {
		await sleep(index * requestIntervalMs);
		const machine = installation.machines[index % installation.machines.length];
		const isRead = Math.floor(index / installation.machines.length) % 2 === 0;
		const outcome = await send(machine.outbound, {
			target: isRead ? '/stock/x' : '/hire/x', method: isRead ? 'GET' : 'POST', body: isRead ? undefined : Buffer.from('one more week'), id: `${name}-${index}`,
		});
		record.write('answered', outcome.id, machine.name, outcome.status ?? 'closed');
		return outcome.status === 200 && outcome.isSealed;
	}));
	return outcomes.filter(Boolean).length / count;
}

await runCase(path.join(import.meta.dirname, 'record.txt'), async ({installation, record, hasTrouble}) => {
	installation.configure(manifest);
	for (const [index, service] of ['catalogue', 'catalogue', 'hire-desk', 'hire-desk'].entries()) {
		await installation.addMachine({
			name: `machine-${index}`, service, slots: 65, serve,
		});
	}

	await installation.whenReady();
	const shareBefore = await servedShare(installation, record, 'before', 40);
	record.write('served before:', shareBefore);
	for (const machine of installation.machines) {
		machine.kill('SIGKILL');
	}

	record.write('all processes are killed; the platform starts them again');
	await installation.whenReady();
	const backAtMs = performance.now();
	record.write('the machines are back');
	if (hasTrouble) {
		for (const {name, upstream} of installation.machines) {
			const report = {
				address: `${upstream.host}:${upstream.port}`,
				born: Date.now(),
				info: {
					service: 'billing-trial', version: 'v1', zone: upstream.zone, slots: 10,
				},
				status: {state: 'ready', seq: 1, coldLeftS: 0},
			};
			record.write('report of another writer to', name, 'answered with', await upstream.sendReport(report, `i-other-${name}`));
		}
	}

	await sleep(backAtMs + recoveryMs - performance.now());
	for (const {name, upstream} of installation.machines) {
		record.write('report of the upstream of', name, 'answered with', await upstream.beat());
	}

	const shareAfter = await servedShare(installation, record, 'after', requestsAfter);
	record.write('served later than recoveryS after the machines are back:', shareAfter);
	return shareBefore >= minServedShare && shareAfter < minServedShare;
});
