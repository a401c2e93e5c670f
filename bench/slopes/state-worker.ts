// Separate process, for a clean heap, that prints the cost of an idempotency entry, a connection and a call between nodes.
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {v7 as uuidv7} from 'uuid';
import {type PeerAddress} from '../../src/runtime/peer/peer-address.js';
import {PeerMethod} from '../../src/runtime/peer/peer-method.js';
import {type PeerService} from '../../src/runtime/peer/peer-service.js';
import {EntryState} from '../../src/services/ownership/entry-state.js';
import {IdempotencyTable} from '../../src/services/ownership/idempotency-table.js';
import {createPeer} from './create-peer.js';

const entryCount = 50_000;
const answerBytes = 256;
const connectionCount = 100;
const callCount = 10_000;
const callConcurrency = 32;
const timeoutMs = 10_000;
const echo = new PeerMethod<{text: string}, {text: string}>('echo');

function usedBytes(): {heap: number; resident: number} {
	globalThis.gc?.();
	const {heapUsed, external, rss} = process.memoryUsage();
	return {heap: heapUsed + external, resident: rss};
}

/** Measures the bytes of one completed entry with its stored answer. */
function measureEntry(): number {
	const table = new IdempotencyTable({maxEntries: entryCount, maxAnswerBytes: entryCount * answerBytes * 2});
	const before = usedBytes().heap;
	for (let index = 0; index < entryCount; index++) {
		const entry = {
			requestId: uuidv7(), shardKey: 'hire-desk/7', fingerprint: uuidv7(), callId: uuidv7(), state: EntryState.Accepted, lastSeenAtMs: Date.now(),
		};
		table.add(entry);
		// Each answer has a separate buffer, like answers that arrive over the network.
		const body = Buffer.from(`${index}`.padEnd(answerBytes, 'x'));
		table.complete(entry, {status: 200, headers: {'content-type': 'application/json'}, body});
	}

	return Math.round((usedBytes().heap - before) / table.size);
}

async function startPeers(count: number): Promise<PeerService[]> {
	const peers = Array.from({length: count}, (_, index) => createPeer(`peer-${index}`));
	await Promise.all(peers.map(async peer => peer.listen()));
	for (const peer of peers) {
		peer.handle(echo, async params => params);
	}

	return peers;
}

/** Measures the bytes of one end of an open connection, as the mean of both ends. */
async function measureConnection(): Promise<{heapBytes: number; residentBytes: number}> {
	const [hub, ...others] = await startPeers(connectionCount + 1);
	const before = usedBytes();
	for (const other of others) {
		await hub.call(other.self, echo, {text: 'x'}, {timeoutMs});
	}

	const after = usedBytes();
	const ends = 2 * connectionCount;
	return {heapBytes: Math.round((after.heap - before.heap) / ends), residentBytes: Math.round((after.resident - before.resident) / ends)};
}

async function callMany(hub: PeerService, peer: PeerAddress): Promise<void> {
	for (let left = callCount / callConcurrency; left > 0; left--) {
		await hub.call(peer, echo, {text: 'x'.repeat(answerBytes)}, {timeoutMs});
	}
}

/** Measures the processor time of one call between nodes in milliseconds, both ends together. */
async function measureCall(): Promise<number> {
	const [hub, other] = await startPeers(2);
	await callMany(hub, other.self);
	const before = process.cpuUsage();
	await Promise.all(Array.from({length: callConcurrency}, async () => callMany(hub, other.self)));
	const {user, system} = process.cpuUsage(before);
	return (user + system) / 1000 / callCount;
}

const idempotencyEntryBytes = measureEntry();
const connection = await measureConnection();
const peerCallCpuMs = await measureCall();
console.log(JSON.stringify({idempotencyEntryBytes, connection, peerCallCpuMs}));
process.exit(); // eslint-disable-line unicorn/no-process-exit
