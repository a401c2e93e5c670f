import {appendFileSync, writeFileSync} from 'node:fs';

/** Writes what was sent, answered and run to a file, one line each. */
export class Recorder {
	startedAtMs = performance.now();

	constructor(path) {
		this.path = path;
		writeFileSync(path, '');
	}

	write(...words) {
		appendFileSync(this.path, `${((performance.now() - this.startedAtMs) / 1000).toFixed(3)} ${words.join(' ')}\n`);
	}
}
