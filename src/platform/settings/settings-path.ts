import process from 'node:process';

/** Path of the platform's settings file; undefined if the program doesn't run on the platform. */
export function settingsPath(): string | undefined {
	return process.env.KUMQUATLINE_BOOT;
}
