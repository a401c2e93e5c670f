import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {EventLoopProcessorService} from '../event-loop-processor-service.js';

const spanMs = 500;

test.serial('a process is busy while it computes, and idle while it waits', async t => {
	const processor = new EventLoopProcessorService();
	await sleep(spanMs);
	t.true(processor.utilisation < 0.5, `waiting ${processor.utilisation}`);
	const untilMs = performance.now() + spanMs;
	while (performance.now() < untilMs) {
		// Keeps the event loop busy.
	}

	// The utilisation of an event loop iteration is known once the loop has waited again.
	await sleep(1);
	t.true(processor.utilisation > 0.8, `computing ${processor.utilisation}`);
});
