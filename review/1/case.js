import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {ClientConnection} from '../stand-ins/client.js';
import {runCase} from '../stand-ins/installation.js';
import {RawUpstream} from '../stand-ins/raw-upstream.js';

const host = 'hire.example';
const requests = 600;
/** Behind one answer in this many, a faulty upstream sends additional bytes. */
const faultInterval = 20;

function answerText(id, status, body) {
	return `HTTP/1.1 ${status}\r\nX-Request-Id: ${id}\r\nX-Server-Seal: seal.${id}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

/** The first lines of an answer, of which a faulty upstream begins to send a second copy. */
function firstLines(answer, count) {
	return answer.split('\r\n').slice(0, count).map(line => `${line}\r\n`).join('');
}

/** One answer in 20 is followed by the first line of a second copy if the upstream is faulty. The request after it fails. */
class FailingUpstream extends RawUpstream {
	constructor(machine, isFaulty) {
		super(machine, `i-${machine.name}`, id => {
			const phase = this.statuses.size % faultInterval;
			this.statuses.set(id, phase === 1 ? 500 : 200);
			if (phase === 1) {
				return answerText(id, '500 Internal Server Error', `{"extended":false,"id":"${id}"}`);
			}

			const answer = answerText(id, '200 OK', `{"extended":true,"id":"${id}"}`);
			return isFaulty && phase === 0 ? answer + firstLines(answer, 1) : answer;
		});
		this.statuses = new Map();
	}
}

/** One request in 20 is refused; the refusal is followed by the first two lines of a second copy if the upstream is faulty. The others run. */
class RefusingUpstream extends RawUpstream {
	constructor(machine, isFaulty) {
		super(machine, `i-${machine.name}`, id => {
			this.count++;
			if (this.count % faultInterval === 1) {
				const refusal = `HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;
				return isFaulty ? refusal + firstLines(refusal, 2) : refusal;
			}

			this.runs.push(id);
			return answerText(id, '200 OK', `{"booked":true,"id":"${id}"}`);
		});
		this.count = 0;
		this.runs = [];
	}
}

await runCase(path.join(import.meta.dirname, 'record.txt'), async (installation, trouble) => {
	const route = {
		host, kind: 'mutating', timeoutS: 5, goalS: 1.5, priority: 0, attempts: 2,
	};
	installation.configure(7, [
		{
			...route, name: 'hire-extend', prefix: '/extend/', service: 'hire-desk',
		},
		{
			...route, name: 'delivery-book', prefix: '/book/', service: 'dispatch',
		},
	], ['hire-desk', 'dispatch']);
	const machines = [];
	for (const service of ['hire-desk', 'hire-desk', 'dispatch', 'dispatch']) {
		const name = `sidecar-a-${machines.length + 1}`;
		machines.push(await installation.addMachine(name, 'zone-a', service, machines[0] && {portRange: machines[0].firstPort}));
	}

	// One upstream of each service is faulty.
	const [entry] = machines;
	const desk = [new FailingUpstream(machines[0], trouble), new FailingUpstream(machines[1], false)];
	const dispatch = [new RefusingUpstream(machines[2], trouble), new RefusingUpstream(machines[3], false)];
	await Promise.all([...desk, ...dispatch].map(async upstream => {
		await upstream.machine.startNode();
		await upstream.start();
	}));
	await sleep(3000);
	const breaches = [];
	for (let count = 1; count <= requests; count++) {
		const id = `extend-${count}`;
		const answer = await send(installation, entry, '/extend/hire', id);
		if (answer?.status === 200 && desk.every(({statuses}) => statuses.get(id) !== 200)) {
			breaches.push(`MIXED: the upstream answered ${id} with 500, the client got 200 with the upstream's seal`);
		}
	}

	for (let count = 1; count <= requests; count++) {
		const id = `book-${count}`;
		const answer = await send(installation, entry, '/book/run', id);
		const runs = dispatch.flatMap(upstream => upstream.runs).filter(run => run === id).length;
		if (runs > 1) {
			breaches.push(`TWICE: ${id} has run ${runs} times, the client got ${answer?.status}`);
		} else if (runs === 1 && answer?.status === 503) {
			breaches.push(`REFUSED: ${id} has run, the client got 503`);
		}
	}

	for (const upstream of [...desk, ...dispatch]) {
		upstream.stop();
	}

	return breaches;
});

async function send(installation, machine, target, id) {
	const client = new ClientConnection(machine, installation);
	client.send({
		method: 'POST', host, target, id, deadlineMs: 5000, body: 'days=3',
	});
	const answer = await client.whenAnswered(id, 5000);
	client.socket.destroy();
	return answer;
}
