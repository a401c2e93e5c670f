// A late liveness report arrives after the node has restarted, and after the upstream's leaving was acknowledged.
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from '../stand-ins-2/client.js';
import {runCase} from '../stand-ins-2/run-case.js';

/** How late the report arrives. */
const reportDelayMs = 6000;
const drainMs = 2000;
const requestIntervalMs = 20;
const workMs = 150;
/** The upstream serves this long after the confirmation and exits. */
const servesAfterMs = 9000;

const manifest = {
	version: 'r3',
	routes: [
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

await runCase(path.join(import.meta.dirname, 'record.txt'), async ({installation, record, hasTrouble}) => {
	installation.configure(manifest);
	const front = await installation.addMachine({
		name: 'front-0', service: 'catalogue', slots: 65, serve,
	});
	const desks = [];
	for (const name of ['desk-0', 'desk-1']) {
		desks.push(await installation.addMachine({
			name, service: 'hire-desk', slots: 81, serve,
		}));
	}

	await installation.whenReady();
	const [leaving] = desks;
	const {upstream} = leaving;
	const stop = new AbortController();
	const outcomes = [];
	const load = (async () => {
		for (let index = 0; !stop.signal.aborted; index++) {
			outcomes.push(send(front.outbound, {
				method: 'POST', target: '/hire/x', id: `hire-${index}`, deadlineMs: 3000,
			}));
			await sleep(requestIntervalMs);
		}
	})();
	await sleep(1000);
	// The last report before the upstream leaves; a partition holds it up.
	upstream.seq++;
	const lateReport = upstream.report();
	record.write('report sent, seq', upstream.seq);
	await sleep(300);
	const acknowledged = await upstream.depart();
	const acknowledgedAtMs = performance.now();
	record.write('DELETE acknowledged with', acknowledged);
	await sleep(300);
	if (hasTrouble) {
		leaving.kill('SIGKILL');
		record.write('node of the leaving upstream killed; the platform starts it again');
	}

	await sleep(reportDelayMs - 600);
	record.write('the late report arrives, answered with', await upstream.sendReport(lateReport));
	await sleep(servesAfterMs - (performance.now() - acknowledgedAtMs));
	upstream.close();
	record.write('the upstream exits');
	await sleep(500);
	stop.abort();
	await load;
	const late = upstream.runs.filter(({atMs}) => atMs - acknowledgedAtMs > drainMs);
	for (const {id, atMs} of late) {
		record.write('reached the leaving upstream', id, `${Math.round(atMs - acknowledgedAtMs)} ms after the confirmation`);
	}

	const statuses = {};
	for (const {status = 'closed'} of await Promise.all(outcomes)) {
		statuses[status] = (statuses[status] ?? 0) + 1;
	}

	record.write('answers by status', JSON.stringify(statuses));
	record.write('requests that reached the leaving upstream later than drainS after the confirmation:', late.length);
	return late.length > 0;
});
