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
const afterTriggerMs = 10_000;
const maxRequests = 20_000;

/** Starts a system, applies the load with the trigger, and returns the records. */
export async function runLoad(system: SystemUnderTest, setup: OverloadSetup, seed: number): Promise<OverloadRun> {
	try {
		await system.start(setup, seed);
		return await applyLoad(system, setup, seed);
	} finally {
		await system.dispose();
	}
}

async function applyLoad(system: SystemUnderTest, setup: OverloadSetup, seed: number): Promise<OverloadRun> {
	const {slowService, slowFactor, usualLoadFraction, surgeFactor} = setup;
	const capacityPerSecond = capacityOf(setup);
	const usualRate = capacityPerSecond * usualLoadFraction;
	const caller = new CallerStandIn({
		nodeUrls: system.entryUrls,
		operations: setup.operations,
		phases: [
			{durationMs: warmUpMs, ratePerSecond: usualRate / 2},
			{durationMs: usualMs, ratePerSecond: usualRate},
			{durationMs: triggerMs, ratePerSecond: capacityPerSecond / slowFactor * surgeFactor},
			{durationMs: afterTriggerMs, ratePerSecond: usualRate},
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
	const processorMeter = new ProcessorMeter();
	await system.setFaults(slowService, {slowFactor});
	const triggerToMs = triggerFromMs + triggerMs;
	await delay(triggerToMs - Date.now());
	const {utilisation} = processorMeter;
	await system.setFaults(slowService, {});
	return {
		usualFromMs: startedAtMs + warmUpMs,
		triggerFromMs,
		triggerToMs,
		endMs: triggerToMs + afterTriggerMs,
		requests: await requests,
		executions: await system.readHistory(),
		utilisation,
	};
}
