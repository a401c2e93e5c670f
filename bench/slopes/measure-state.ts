import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const workerFile = fileURLToPath(new URL('state-worker.js', import.meta.url));
const timeoutMs = 40_000;

type StateCosts = {
	/** Size of a completed entry with an answer of 256 bytes. */
	readonly idempotencyEntryBytes: number;
	/** Memory of one end of an open connection between nodes. */
	readonly connection: {readonly heapBytes: number; readonly residentBytes: number};
	/** Processor time of a call between nodes, both ends together. */
	readonly peerCallCpuMs: number;
};

/** Measures the cost of a call's state and messages in a separate process. */
export async function measureState(): Promise<StateCosts> {
	const {stdout} = await promisify(execFile)(process.execPath, ['--expose-gc', workerFile], {timeout: timeoutMs});
	return JSON.parse(stdout) as StateCosts;
}
