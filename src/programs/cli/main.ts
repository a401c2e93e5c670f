import process from 'node:process';
import {runCli} from './run-cli.js';

// Standard output may be a pipe: the status is set, and the process ends once all is written.
process.exitCode = await runCli(process.argv.slice(2), {
	stdout(text) {
		process.stdout.write(text);
	},
	stderr(text) {
		process.stderr.write(text);
	},
});
