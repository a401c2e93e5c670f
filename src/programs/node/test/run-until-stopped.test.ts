import process from 'node:process';
import test from 'ava';
import {Deferred} from '../../../base/deferred.js';
import {ExitStatus} from '../exit-status.js';
import {runUntilStopped} from '../run-until-stopped.js';

// Guards against LOST: a second SIGTERM ended the process at once, and the requests that it still answered with it.
test('a further SIGTERM during a planned stop changes nothing', async t => {
	const listenersBefore = process.listenerCount('SIGTERM');
	const stopping = new Deferred<void>();
	const stopped = new Deferred<void>();
	let stops = 0;
	const running = runUntilStopped({
		async start() {/* Nothing to start. */},
		async stop() {
			stops++;
			stopping.resolve();
			await stopped.promise;
		},
		dispose() {/* Nothing to release. */},
	});
	process.emit('SIGTERM');
	await stopping.promise;
	t.is(process.listenerCount('SIGTERM'), listenersBefore + 1, 'without a listener the signal ends the process');
	process.emit('SIGTERM');
	stopped.resolve();
	t.is(await running, ExitStatus.Ok);
	t.is(stops, 1);
	t.is(process.listenerCount('SIGTERM'), listenersBefore);
});
