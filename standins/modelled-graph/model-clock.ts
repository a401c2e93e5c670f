import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Clock, install} from '@sinonjs/fake-timers';
import {type Disposable} from '../../src/base/disposable.js';

/** A paused clock that runs from timer to timer, with all that each of them sets off in between. */
export class ModelClock implements Disposable {
	private readonly clock: Clock = install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date']});

	get nowMs(): number {
		return this.clock.now;
	}

	/** Runs for a time. */
	async run(durationMs: number): Promise<void> {
		const endsAtMs = this.clock.now + durationMs;
		setTimeout(() => undefined, durationMs);
		while (this.clock.now < endsAtMs) {
			this.clock.next();
			await nextTurn();
		}
	}

	dispose(): void {
		this.clock.uninstall();
	}
}
