import process from 'node:process';
import {type Disposable} from '../../base/disposable.js';
import {ExitStatus} from './exit-status.js';

type StoppableNode = Disposable & {
	start(signal: AbortSignal): Promise<void>;
	stop(): Promise<void>;
};

/** Starts a node, waits for SIGTERM or SIGINT, and stops it. Further SIGTERMs change nothing; a further SIGINT, as from a terminal, ends the process. */
export async function runUntilStopped(node: StoppableNode): Promise<ExitStatus> {
	const stop = new AbortController();
	const onSignal = () => {
		stop.abort();
	};

	process.on('SIGTERM', onSignal);
	process.once('SIGINT', onSignal);
	try {
		await node.start(stop.signal);
		await whenAborted(stop.signal);
		await node.stop();
		return ExitStatus.Ok;
	} catch (error) {
		process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
		return ExitStatus.Failed;
	} finally {
		node.dispose();
		process.off('SIGTERM', onSignal);
		process.off('SIGINT', onSignal);
	}
}

async function whenAborted(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		if (signal.aborted) {
			resolve();
			return;
		}

		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
