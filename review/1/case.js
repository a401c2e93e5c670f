import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection} from '../stand-ins/client.js';
import {runCase} from '../stand-ins/installation.js';
import {RawUpstream} from '../stand-ins/raw-upstream.js';

const host = 'hire.example';
const requests = 40;

function answerText(id, status, body) {
	return `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Server-Seal: seal.${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

await runCase(path.join(import.meta.dirname, 'record.txt'), async (installation, trouble) => {
	installation.configure(7, [{
		name: 'hire-extend', host, prefix: '/app/', kind: 'mutating', timeoutS: 5, goalS: 1.5, priority: 0, service: 'hire-desk', attempts: 2,
	}], ['hire-desk']);
	const machine = await installation.addMachine('sidecar-a-1', 'zone-a', 'hire-desk');
	await machine.startNode();
	const statuses = new Map();
	const upstream = new RawUpstream(machine, 'i-a1', id => {
		// Every second extension fails.
		if (Number(id.split('-')[1]) % 2 === 0) {
			statuses.set(id, 500);
			return answerText(id, '500 Internal Server Error', `{"extended":false,"id":"${id}"}`);
		}

		statuses.set(id, 200);
		const answer = answerText(id, '200 OK', `{"extended":true,"id":"${id}"}`);
		// The faulty upstream begins to send the answer a second time, and breaks off after the first line.
		return trouble ? answer + answer.slice(0, answer.indexOf('\r\n') + 2) : answer;
	});
	await upstream.start();
	await sleep(1000);
	const breaches = [];
	for (let count = 1; count <= requests; count++) {
		const id = `extend-${count}`;
		const client = new ClientConnection(machine, installation);
		client.send({
			method: 'POST', host, target: '/app/extend', id, deadlineMs: 5000, body: 'days=3',
		});
		const answer = await client.whenAnswered(id, 5000);
		if (answer?.status === 200 && statuses.get(id) !== 200) {
			breaches.push(`MIXED: the upstream answered ${id} with ${statuses.get(id)}, the client got ${answer.status} with the upstream's seal`);
		}

		client.socket.destroy();
	}

	upstream.stop();
	return breaches;
});
