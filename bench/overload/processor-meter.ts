import {cpus} from 'node:os';

/** Measures the utilisation of the machine's processors since the meter was created, by all processes together. */
export class ProcessorMeter {
	private readonly before = readTimes();

	get utilisation(): number {
		const now = readTimes();
		return (now.busyMs - this.before.busyMs) / (now.totalMs - this.before.totalMs);
	}
}

function readTimes(): {busyMs: number; totalMs: number} {
	let busyMs = 0;
	let totalMs = 0;
	for (const {times: {user, nice, sys, irq, idle}} of cpus()) {
		busyMs += user + nice + sys + irq;
		totalMs += user + nice + sys + irq + idle;
	}

	return {busyMs, totalMs};
}
