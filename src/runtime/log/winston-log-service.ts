import {
	createLogger, format, transports, type Logger,
} from 'winston';
import {SettingsService} from '../settings/settings-service.js';
import {type LogService} from './log-service.js';

/** Writes JSON lines with the node's id and availability zone to standard output. */
export class WinstonLogService implements LogService {
	private readonly logger: Logger;

	constructor(@SettingsService settingsService: SettingsService) {
		const {nodeId, availabilityZone, logLevel} = settingsService.settings;
		this.logger = createLogger({
			level: logLevel,
			defaultMeta: {node: nodeId, availabilityZone},
			format: format.combine(format.timestamp(), format.json()),
			transports: [new transports.Console()],
		});
	}

	debug(message: string, fields?: Readonly<Record<string, unknown>>): void {
		this.logger.debug(message, fields);
	}

	info(message: string, fields?: Readonly<Record<string, unknown>>): void {
		this.logger.info(message, fields);
	}

	warn(message: string, fields?: Readonly<Record<string, unknown>>): void {
		this.logger.warn(message, fields);
	}

	error(message: string, fields?: Readonly<Record<string, unknown>>): void {
		this.logger.error(message, fields);
	}

	dispose(): void {
		this.logger.end();
	}
}
