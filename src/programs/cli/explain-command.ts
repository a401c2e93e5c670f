import {
	array, command, multioption, positional, string, flag,
} from 'cmd-ts';
import {CliError} from './cli-error.js';
import {ExitStatus} from './exit-status.js';
import {formatTable} from './format-table.js';
import {type LogLine} from './log-line.js';
import {type Output} from './output.js';
import {readLogLines} from './read-log-lines.js';

/** `kumquatline explain`. */
export const explainCommand = command({
	name: 'explain',
	description: 'Show what the nodes decided about a request and the calls made for it, as recorded in their logs',
	args: {
		requestId: positional({type: string, displayName: 'request id'}),
		logs: multioption({long: 'log', type: array(string), description: 'log file of one or more nodes, or "-" for standard input (default)'}),
		json: flag({long: 'json', description: 'print a JSON document instead of text'}),
	},
	async handler({requestId, logs}): Promise<Output> {
		const lines = await readLogLines(logs.length === 0 ? ['-'] : logs, requestId);
		const [first] = lines;
		if (!first) {
			throw new CliError(ExitStatus.Failed, `no log line names ${requestId}: it reached no node whose log was given, was a call that succeeded, or its log line was dropped`);
		}

		const rows = lines.map(line => toRow(line, requestId, first.time));
		return {document: lines, text: formatTable(['MS', 'NODE', 'ZONE', 'CALL', 'DECISION', 'INPUTS'], rows)};
	},
});

function toRow({time, node, availabilityZone, message, id, level: _level, ...inputs}: LogLine, requestId: string, firstAtMs: number): string[] {
	return [
		String(time - firstAtMs),
		node,
		availabilityZone,
		id.slice(requestId.length) || '-',
		message,
		Object.entries(inputs).map(([name, value]) => `${name}=${toText(value)}`).join(' '),
	];
}

function toText(value: unknown): string {
	return typeof value === 'string' ? JSON.stringify(value) : JSON.stringify(value, omitNull);
}

/** Replacer for `JSON.stringify` that leaves out null values. */
function omitNull(_key: string, value: unknown): unknown {
	return value ?? undefined;
}
