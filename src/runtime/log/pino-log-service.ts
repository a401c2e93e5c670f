import {
	pino, type DestinationStream, type Level, type Logger,
} from 'pino';
import {type Disposable} from '../../base/disposable.js';
import {SettingsService} from '../settings/settings-service.js';
import {type LogService} from './log-service.js';

type LogFields = Readonly<Record<string, unknown>>;
type Destination = DestinationStream & {
	flush(): void;
	flushSync(): void;
	on(event: 'drop', listener: () => void): unknown;
};

const standardOutput = 1;
/** Lines are written in batches of this size, or after the interval if that is earlier. */
const batchBytes = 8192;
const flushIntervalMs = 200;
/** Lines that are buffered for a slow reader of standard output; further lines are dropped. */
const maxBufferedBytes = 2_097_152;
/** Limit of info and debug lines, twice what a node writes at its usual peak; warnings and errors aren't limited. */
const maxLinesPerSecond = 1000;
const intervalMs = 1000;

/** Writes JSON lines with the node's id and availability zone to standard output. The rate of info and debug lines is limited, and a slow reader does not block a running node. */
export class PinoLogService implements LogService, Disposable {
	private readonly destination: Destination;
	private readonly logger: Logger;
	private readonly timers: readonly NodeJS.Timeout[];
	private linesInInterval = 0;
	private droppedLines = 0;

	constructor(@SettingsService settingsService: SettingsService) {
		const {nodeId, availabilityZone, logLevel} = settingsService.settings;
		this.destination = this.openDestination();
		this.destination.on('drop', () => {
			this.droppedLines++;
		});
		this.logger = pino({
			level: logLevel,
			messageKey: 'message',
			base: {node: nodeId, availabilityZone},
			formatters: {
				level: label => ({level: label}),
			},
		}, this.destination);
		this.timers = [
			setInterval(() => {
				this.destination.flush();
			}, flushIntervalMs).unref(),
			setInterval(() => {
				this.startInterval();
			}, intervalMs).unref(),
		];
	}

	debug(message: string, fields: LogFields = {}): void {
		this.write('debug', message, fields);
	}

	info(message: string, fields: LogFields = {}): void {
		this.write('info', message, fields);
	}

	warn(message: string, fields: LogFields = {}): void {
		this.logger.warn(fields, message);
	}

	error(message: string, fields: LogFields = {}): void {
		this.logger.error(fields, message);
	}

	dispose(): void {
		for (const timer of this.timers) {
			clearInterval(timer);
		}

		this.destination.flushSync();
	}

	/** Opens standard output; tests override it to capture the lines. */
	protected openDestination(): Destination {
		return pino.destination({
			dest: standardOutput, sync: false, minLength: batchBytes, maxLength: maxBufferedBytes,
		});
	}

	private write(level: Level, message: string, fields: LogFields): void {
		if (!this.logger.isLevelEnabled(level)) {
			return;
		}

		if (this.linesInInterval >= maxLinesPerSecond) {
			this.droppedLines++;
			return;
		}

		this.linesInInterval++;
		this.logger[level](fields, message);
	}

	/** Logs how many lines were dropped, and starts counting again. */
	private startInterval(): void {
		this.linesInInterval = 0;
		if (this.droppedLines > 0) {
			this.logger.warn({lines: this.droppedLines}, 'log lines left out');
			this.droppedLines = 0;
		}
	}
}
