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
	/** What a peer sends for one change. */
	readonly newsBytes: number;
	/** Processor time of a node that takes one change from a peer. */
	readonly takeCpuMs: number;
	/** Processor time of the peer that sends it. */
	readonly sendCpuMs: number;
};

/** Bytes and processor time of a change of policy, by the size of the policy. */
export async function run(): Promise<SizeReport[]> {
	return operationCounts.map(count => measure(count));
}

function measure(count: number): SizeReport {
	let policy = makeFirstPolicy(documentOf(count), 0);
	let newsBytes = 0;
	let takeCpuMs = 0;
	let sendCpuMs = 0;
	for (let round = 0; round < rounds; round++) {
		const next = change(policy, round);
		const sent = measureSending(policy, next);
		newsBytes = Buffer.byteLength(sent.news);
		sendCpuMs += sent.cpuMs;
		takeCpuMs += measureTaking(policy, sent.news);
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

function measureSending(known: Policy, next: Policy): {news: string; cpuMs: number} {
	const before = process.cpuUsage();
	const news = JSON.stringify(encodePolicyUpdate(next, 1, known.version));
	return {news, cpuMs: cpuMsSince(before)};
}

function measureTaking(known: Policy, news: string): number {
	const before = process.cpuUsage();
	decodePolicyUpdate(JSON.parse(news) as ReturnType<typeof encodePolicyUpdate>, known);
	return cpuMsSince(before);
}

function documentOf(count: number): unknown {
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

function change(policy: Policy, round: number): Policy {
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
