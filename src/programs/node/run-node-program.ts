import process from 'node:process';
import {command, runSafely} from 'cmd-ts';
import {type Kernel} from '../../runtime/kernel/kernel.js';
import {checkSettings} from '../../runtime/settings/check-settings.js';
import {type NodeSettings} from '../../runtime/settings/node-settings.js';
import {settingArguments} from '../../runtime/settings/setting-arguments.js';
import {ExitStatus} from './exit-status.js';
import {Node} from './node.js';
import {runUntilStopped} from './run-until-stopped.js';
import {version} from './version.js';

const program = command({
	name: 'kumquatline-node',
	version,
	description: 'Route callers\' requests and protect the backend server of one VM from overload',
	args: settingArguments,
	handler: settings => settings,
});

/** Runs the node program: checks the settings, runs a node with the kernel created for them, and returns the exit status. */
export async function runNodeProgram(createKernel: (settings: NodeSettings) => Kernel): Promise<ExitStatus> {
	const parsed = await runSafely(program, process.argv.slice(2));
	if (parsed._tag === 'error') {
		const {message, into, exitCode} = parsed.error.config;
		process[into].write(`${message}\n`);
		return exitCode === 0 ? ExitStatus.Ok : ExitStatus.SettingsInvalid;
	}

	const {checkSettings: checkOnly, ...settings} = parsed.value;
	const problems = checkSettings(settings);
	if (problems.length > 0) {
		process.stderr.write(`${problems.join('\n')}\n`);
		return ExitStatus.SettingsInvalid;
	}

	return checkOnly ? ExitStatus.Ok : runUntilStopped(new Node(createKernel(settings)));
}
