import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {type Readable} from 'node:stream';
import {CliError} from './cli-error.js';
import {ExitStatus} from './exit-status.js';
import {type LogLine, logLine} from './log-line.js';

/** Reads the lines about a request or the calls made for it from log files, "-" being standard input; other lines are skipped. */
export async function readLogLines(files: readonly string[], requestId: string): Promise<readonly LogLine[]> {
	const found: LogLine[] = [];
	for (const file of files) {
		try {
			await collect(file === '-' ? process.stdin : createReadStream(file), requestId, found);
		} catch (error) {
			throw new CliError(ExitStatus.UsageInvalid, `${file}: ${(error as Error).message}`);
		}
	}

	return found.toSorted((left, right) => left.time - right.time);
}

async function collect(input: Readable, requestId: string, found: LogLine[]): Promise<void> {
	for await (const text of createInterface({input, crlfDelay: Number.POSITIVE_INFINITY})) {
		const line = text.includes(requestId) ? parseLine(text) : undefined;
		if (line && (line.id === requestId || line.id.startsWith(`${requestId}.`))) {
			found.push(line);
		}
	}
}

/** Parses a log line, which may have a prefix before its JSON; undefined if it is not a log line about a request. */
function parseLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return logLine.safeParse(JSON.parse(text.slice(start))).data;
	} catch {
		// The line is truncated or comes from another program.
		return undefined;
	}
}
