import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {CliError} from './cli-error.js';
import {ExitStatus} from './exit-status.js';

/** Reads a JSON file, or standard input if the path is "-". */
export async function readJsonFile(path: string): Promise<unknown> {
	try {
		return path === '-' ? await json(process.stdin) : JSON.parse(await readFile(path, 'utf8'));
	} catch (error) {
		throw new CliError(ExitStatus.UsageInvalid, `${path}: ${(error as Error).message}`);
	}
}
