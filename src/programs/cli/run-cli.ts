import {runSafely, subcommands} from 'cmd-ts';
import {version} from '../node/version.js';
import {CliError} from './cli-error.js';
import {ExitStatus} from './exit-status.js';
import {explainCommand} from './explain-command.js';
import {nodesCommand} from './nodes-command.js';
import {type Output} from './output.js';
import {policyCommand} from './policy-command.js';
import {statusCommand} from './status-command.js';

type Streams = {
	readonly stdout: (text: string) => void;
	readonly stderr: (text: string) => void;
};

const program = subcommands({
	name: 'kumquatline',
	version,
	description: 'Operate a kumquatline mesh through any of its nodes',
	cmds: {
		policy: policyCommand, nodes: nodesCommand, status: statusCommand, explain: explainCommand,
	},
});

/** Runs a command line and returns its exit status. */
export async function runCli(args: readonly string[], {stdout, stderr}: Streams): Promise<ExitStatus> {
	const wantsJson = args.includes('--json');
	try {
		const parsed = await runSafely(program, [...args]);
		if (parsed._tag === 'error') {
			const {message, into, exitCode} = parsed.error.config;
			(into === 'stdout' ? stdout : stderr)(`${message}\n`);
			return exitCode === 0 ? ExitStatus.Ok : ExitStatus.UsageInvalid;
		}

		const {document, text} = outputOf(parsed.value);
		stdout(wantsJson ? `${JSON.stringify(document)}\n` : `${text}\n`);
		return ExitStatus.Ok;
	} catch (error) {
		return report(error, wantsJson, stderr);
	}
}

/** Unwraps the result of the innermost command from those of the commands around it. */
function outputOf(result: unknown): Output {
	const {value} = result as {value?: unknown};
	return value === undefined ? result as Output : outputOf(value);
}

function report(error: unknown, wantsJson: boolean, stderr: Streams['stderr']): ExitStatus {
	const message = error instanceof Error ? error.message : String(error);
	const exitStatus = error instanceof CliError ? error.exitStatus : ExitStatus.Failed;
	const kind = error instanceof CliError ? error.kind : undefined;
	stderr(wantsJson ? `${JSON.stringify({exitStatus, kind, message})}\n` : `${message}\n`);
	return exitStatus;
}
