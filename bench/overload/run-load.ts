import {setTimeout as delay} from 'node:timers/promises';
import {CallerStandIn} from '../../standins/caller/caller-stand-in.js';
import {capacityOf} from './capacity-of.js';
import {type OverloadRun} from './overload-run.js';
import {type OverloadSetup} from './overload-setup.js';
import {ProcessorMeter} from './processor-meter.js';
import {type SystemUnderTest} from './system-under-test.js';

const warmUpMs = 3000;
const usualMs = 5000;
const triggerMs = 10_000;
const afterMs = 10_000;
const maxRequests = 20_000;

/** Starts a system, applies the load with the trigger, and returns the records. */
export async function runLoad(system: SystemUnderTest, setup: OverloadSetup, seed: number): Promise<OverloadRun> {
	try {
		await system.start(setup, seed);
		return await carry(system, setup, seed);
	} finally {
		await system.dispose();
	}
}

async function carry(system: SystemUnderTest, setup: OverloadSetup, seed: number): Promise<OverloadRun> {
	const {slowService, slowFactor, usualLoadShare, surgeFactor} = setup;
	const capacityPerSecond = capacityOf(setup);
	const usualRate = capacityPerSecond * usualLoadShare;
	const caller = new CallerStandIn({
		nodeUrls: system.entryUrls,
		operations: setup.operations,
		phases: [
			{durationMs: warmUpMs, ratePerSecond: usualRate / 2},
			{durationMs: usualMs, ratePerSecond: usualRate},
			{durationMs: triggerMs, ratePerSecond: capacityPerSecond / slowFactor * surgeFactor},
			{durationMs: afterMs, ratePerSecond: usualRate},
		],
		maxRequests,
		oneWayDelayMs: setup.oneWayDelayMs,
		patienceMs: 3000,
		attemptTimeoutMs: 1500,
		maxAttempts: 5,
		retryDelayMs: 50,
		seed,
	});
	const startedAtMs = Date.now();
	const requests = caller.run();
	const triggerFromMs = startedAtMs + warmUpMs + usualMs;
	await delay(triggerFromMs - Date.now());
	const processors = new ProcessorMeter();
	await system.setFaults(slowService, {slowFactor});
	const triggerToMs = triggerFromMs + triggerMs;
	await delay(triggerToMs - Date.now());
	const {busyShare} = processors;
	await system.setFaults(slowService, {});
	return {
		usualFromMs: startedAtMs + warmUpMs,
		triggerFromMs,
		triggerToMs,
		endMs: triggerToMs + afterMs,
		requests: await requests,
		executions: await system.readHistory(),
		busyShare,
	};
}
