import process from 'node:process';
import {type Disposable} from '../../base/disposable.js';
import {type LogService} from '../../runtime/log/log-service.js';
import {type LoadSource} from './load-source.js';

/** Short enough to show when an overload starts and ends; a thousandth of the lines that a busy node writes. */
const intervalMs = 1000;
const microsecondsPerMs = 1000;

/** Logs the load of a node and its view of other nodes once a second, unless the node is idle. */
export class LoadLog implements Disposable {
	private readonly timer: NodeJS.Timeout;
	private dueAtMs = performance.now() + intervalMs;
	private lastCpuUsage = process.cpuUsage();

	constructor(private readonly log: LogService, private readonly sources: readonly LoadSource[]) {
		this.timer = setInterval(() => {
			this.write();
		}, intervalMs).unref();
	}

	dispose(): void {
		clearInterval(this.timer);
	}

	private write(): void {
		const nowMs = performance.now();
		const {user, system} = process.cpuUsage(this.lastCpuUsage);
		this.lastCpuUsage = process.cpuUsage();
		const reports = this.sources.map(source => source.reportLoad()).filter(report => report !== undefined);
		if (reports.length > 0) {
			this.log.info('load', {
				// A late timer means that the event loop is overloaded.
				timerLateMs: Math.round(nowMs - this.dueAtMs),
				processorMs: Math.round((user + system) / microsecondsPerMs),
				...Object.assign({}, ...reports) as Record<string, unknown>,
			});
		}

		this.dueAtMs = nowMs + intervalMs;
	}
}
