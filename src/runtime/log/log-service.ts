import {createServiceId} from '../kernel/create-service-id.js';

type LogFields = Readonly<Record<string, unknown>>;

/** Structured log. Fields never contain request bodies; above debug level, they never contain ids of callers. */
export interface LogService {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
}

export const LogService = createServiceId<LogService>('log');
