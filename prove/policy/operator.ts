import {spawn} from 'node:child_process';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {type ExitStatus} from '../../src/programs/cli/exit-status.js';

const cliFile = fileURLToPath(new URL('../../../kumquatline', import.meta.url));

type OperatorOutcome = {
	readonly status: ExitStatus;
	readonly answer: Readonly<Record<string, unknown>>;
};

/** Runs the operators' command line against one node. */
export class Operator {
	constructor(private readonly nodeUrl: string) {}

	/** `input` is written to standard input, for commands that read "-". */
	async run(args: readonly string[], input?: unknown): Promise<OperatorOutcome> {
		const child = spawn(process.execPath, [cliFile, ...args, '--node', this.nodeUrl, '--json'], {stdio: ['pipe', 'pipe', 'pipe']});
		const exited = new Promise<number>(resolve => {
			child.once('close', code => {
				resolve(code ?? 1);
			});
		});
		child.stdin.end(input === undefined ? '' : JSON.stringify(input));
		const [status, stdout, stderr] = await Promise.all([exited, text(child.stdout), text(child.stderr)]);
		return {status, answer: parse(status === 0 ? stdout : stderr)};
	}
}

function parse(output: string): OperatorOutcome['answer'] {
	try {
		return JSON.parse(output) as OperatorOutcome['answer'];
	} catch {
		return {message: output};
	}
}
