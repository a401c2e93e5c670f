import {type ExitStatus} from './exit-status.js';

/** Ends a command with a message and an exit status. */
export class CliError extends Error {
	override readonly name = 'CliError';

	constructor(readonly exitStatus: ExitStatus, message: string, readonly kind?: string) {
		super(message);
	}
}
