import {readFile} from 'node:fs/promises';

const msPerTick = 10;

/** Reads the user and system time used by a process from `/proc`. */
export async function processorTimeMs(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/stat`, 'utf8');
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
	const [userTicks, systemTicks] = fields.slice(11, 13).map(Number);
	return (userTicks + systemTicks) * msPerTick;
}
