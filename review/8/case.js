// Clients read long answers slowly, and their node holds all of these answers without a bound.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../stand-ins-2/run-case.js';
import {useKeptConnection} from '../stand-ins-2/use-kept-connection.js';

const answerBytes = 8 * 1024 * 1024;
const downloadCount = 70;
const downloadIntervalMs = 150;
/** A slow client waits this long after each piece of at most 64 KiB, so that it reads about 0.4 megabytes a second. */
const slowReadMs = 150;
const keptConnections = 8;
const workMs = 400;
/** LOST allows three. */
const allowedLosses = 3;

const manifest = {
	version: 'r3',
	routes: [
		{
			name: 'hire-ledger', host: 'a.example', prefix: '/ledger/', kind: 'idempotent', timeoutS: 40, goalS: 5, priority: 1, service: 'hire-desk', attempts: 2,
		},
		{
			name: 'stock-check', host: 'a.example', prefix: '/stock/', kind: 'idempotent', timeoutS: 5, goalS: 1.5, priority: 2, service: 'catalogue', attempts: 2,
		},
	],
	services: [{name: 'hire-desk', healthPath: '/health', maxConns: 586}, {name: 'catalogue', healthPath: '/health', maxConns: 490}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
	},
};

/** Reads one long answer; resolves with whether it was whole. */
async function download({outbound}, id, isSlow) {
	const socket = connect(outbound.port, outbound.host);
	socket.on('error', () => undefined);
	socket.write(`GET /ledger/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 40000\r\nConnection: close\r\n\r\n`);
	let bytes = 0;
	socket.on('data', chunk => {
		bytes += chunk.length;
		if (isSlow) {
			socket.pause();
			setTimeout(() => {
				socket.resume();
			}, slowReadMs);
		}
	});
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return {id, isWhole: bytes > answerBytes};
}

async function serveStock(exchange) {
	await sleep(workMs);
	exchange.answer();
}

await runCase(path.join(import.meta.dirname, 'record.txt'), async ({installation, record, hasTrouble}) => {
	installation.configure(manifest);
	const body = Buffer.alloc(answerBytes, 'x');
	const [front] = [
		await installation.addMachine({
			name: 'front-0', service: 'catalogue', slots: 65, serve: serveStock,
		}),
		await installation.addMachine({
			name: 'front-1', service: 'catalogue', slots: 65, serve: serveStock,
		}),
	];
	for (const name of ['desk-0', 'desk-1']) {
		await installation.addMachine({
			name, service: 'hire-desk', slots: 81, serve(exchange) {
				record.write('run', exchange.id);
				exchange.answer({body});
			},
		});
	}

	await installation.whenReady();
	const stop = new AbortController();
	const kept = Array.from({length: keptConnections}, async (_, index) =>
		useKeptConnection(front, {name: `kept-${index}`, target: '/stock/x', signal: stop.signal}));
	const downloads = [];
	for (let index = 0; index < downloadCount; index++) {
		const id = `download-${index}`;
		record.write('sent', id);
		downloads.push(download(front, id, hasTrouble));
		await sleep(downloadIntervalMs);
	}

	for (const {id, isWhole} of await Promise.all(downloads)) {
		record.write('answered', id, isWhole ? 'whole' : 'not whole');
	}

	stop.abort();
	const lostIds = await Promise.all(kept);
	const losses = lostIds.flat();
	record.writeMachines(installation.machines);
	record.write('requests on kept connections that got no answer:', losses.length, losses.join(' '));
	return losses.length > allowedLosses;
});
