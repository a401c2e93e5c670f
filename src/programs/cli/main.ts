import process from 'node:process';
import {runCli} from './run-cli.js';

// Sets the exit status without exiting, as standard output may be a pipe that is not completely written yet.
process.exitCode = await runCli(process.argv.slice(2), {
	stdout(text) {
		process.stdout.write(text);
	},
	stderr(text) {
		process.stderr.write(text);
	},
});
