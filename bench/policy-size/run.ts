import {Buffer} from 'node:buffer';
import process from 'node:process';
import {decodePolicyUpdate} from '../../src/services/policy/decode-policy-update.js';
import {encodePolicyUpdate} from '../../src/services/policy/encode-policy-update.js';
import {makeFirstPolicy} from '../../src/services/policy/make-first-policy.js';
import {makePatchedPolicy} from '../../src/services/policy/make-patched-policy.js';
import {type Policy} from '../../src/services/policy/policy.js';

const operationCounts = [100, 500, 1000];
const serviceCount = 78;
const rounds = 50;
const microsecondsPerMs = 1000;

type SizeReport = {
	readonly operations: number;
	readonly documentBytes: number;
	/** Size of the policy update that a peer sends for one change. */
	readonly newsBytes: number;
	/** Processor time for decoding one policy update from a peer. */
	readonly takeCpuMs: number;
	/** Processor time for encoding it at the sending peer. */
	readonly sendCpuMs: number;
};

/** Measures the bytes and processor time of a policy change for policies of different sizes. */
export async function run(): Promise<SizeReport[]> {
	return operationCounts.map(count => measure(count));
}

function measure(count: number): SizeReport {
	let policy = makeFirstPolicy(makePolicyDocument(count), 0);
	let newsBytes = 0;
	let takeCpuMs = 0;
	let sendCpuMs = 0;
	for (let round = 0; round < rounds; round++) {
		const next = changePolicy(policy, round);
		const sent = measureEncoding(policy, next);
		newsBytes = Buffer.byteLength(sent.update);
		sendCpuMs += sent.cpuMs;
		takeCpuMs += measureDecoding(policy, sent.update);
		policy = next;
	}

	return {
		operations: count,
		documentBytes: Buffer.byteLength(JSON.stringify(policy)),
		newsBytes,
		takeCpuMs: roundTo(takeCpuMs / rounds),
		sendCpuMs: roundTo(sendCpuMs / rounds),
	};
}

function measureEncoding(known: Policy, next: Policy): {update: string; cpuMs: number} {
	const before = process.cpuUsage();
	const update = JSON.stringify(encodePolicyUpdate(next, 1, known.version));
	return {update, cpuMs: cpuMsSince(before)};
}

function measureDecoding(known: Policy, update: string): number {
	const before = process.cpuUsage();
	decodePolicyUpdate(JSON.parse(update) as ReturnType<typeof encodePolicyUpdate>, known);
	return cpuMsSince(before);
}

function makePolicyDocument(count: number): unknown {
	const services = Array.from({length: serviceCount}, (_, index) => ({name: `service-${index}`}));
	const operations = Array.from({length: count}, (_, index) => ({
		name: `operation-${index}`,
		method: 'GET',
		path: `/service-${index % serviceCount}/operation-${index}/:item`,
		service: `service-${index % serviceCount}`,
		importance: 'normal',
		idempotent: true,
		timeoutMs: 2000,
		calls: [`service-${(index + 1) % serviceCount}`],
	}));
	return {services, operations, callers: [{name: 'clerk', patienceMs: 5000, retryTotal: 3}]};
}

function changePolicy(policy: Policy, round: number): Policy {
	const operations = [{op: 'replace' as const, path: `/operations/${round}/timeoutMs`, value: 3000}];
	return makePatchedPolicy(policy, {patchId: `change-${round}`, baseVersion: policy.version, operations}, 0);
}

function cpuMsSince(before: NodeJS.CpuUsage): number {
	const {user, system} = process.cpuUsage(before);
	return (user + system) / microsecondsPerMs;
}

function roundTo(value: number): number {
	return Math.round(value * 100) / 100;
}
