import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';

const workerFile = fileURLToPath(new URL('state-worker.js', import.meta.url));
const timeoutMs = 40_000;

type StateCosts = {
	/** A completed entry with an answer of 256 bytes. */
	readonly idempotencyEntryBytes: number;
	/** One end of an open connection between nodes. */
	readonly connection: {readonly heapBytes: number; readonly residentBytes: number};
	/** A call between nodes, both ends. */
	readonly peerCallCpuMs: number;
};

/** What the state and the messages of calls cost, measured in a process of its own. */
export async function measureState(): Promise<StateCosts> {
	const {stdout} = await promisify(execFile)(process.execPath, ['--expose-gc', workerFile], {timeout: timeoutMs});
	return JSON.parse(stdout) as StateCosts;
}
