import {watchFile} from 'node:fs';
import process from 'node:process';
import {type PlatformSettingsService} from '../../platform/settings/platform-settings-service.js';
import {type PlatformSettings, readSettings} from '../../platform/settings/read-settings.js';
import {type Kernel} from '../../runtime/kernel/kernel.js';
import {LogService} from '../../runtime/log/log-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {createRelayKernel} from './create-relay-kernel.js';
import {ExitStatus} from './exit-status.js';
import {RelayNode} from './relay-node.js';
import {runUntilStopped} from './run-until-stopped.js';

/** How often the settings file is checked for changes, which are rare. */
const fileCheckIntervalMs = 2000;

/** Runs a node with the platform's settings file, which is read again on SIGHUP and when it changes. */
export async function runOnPlatform(path: string): Promise<ExitStatus> {
	let settings: PlatformSettings;
	try {
		settings = readSettings(path);
	} catch (error) {
		process.stderr.write(`${(error as Error).message}\n`);
		return ExitStatus.SettingsInvalid;
	}

	const kernel = createRelayKernel(settings);
	// The platform may change the file without sending a signal.
	watchFile(path, {interval: fileCheckIntervalMs, persistent: false}, () => {
		reload(kernel, path);
	});
	process.on('SIGHUP', () => {
		reload(kernel, path);
	});
	return runUntilStopped(new RelayNode(kernel));
}

/** Applies the settings that may change while a node runs; a file that is unreadable or invalid changes nothing. */
function reload(kernel: Kernel, path: string): void {
	const log = kernel.get(LogService);
	try {
		(kernel.get(RelaySettingsService) as PlatformSettingsService).replace(readSettings(path).relay);
		log.info('reload', {path});
	} catch (error) {
		log.error('settings not reloaded', {path, reason: (error as Error).message});
	}
}
