import {readFile} from 'node:fs/promises';

const pageBytes = 4096;

/** Reads the resident memory of a process from `/proc`. */
export async function residentBytesOf(processId: number): Promise<number> {
	const text = await readFile(`/proc/${processId}/statm`, 'utf8');
	return Number(text.split(' ')[1]) * pageBytes;
}
