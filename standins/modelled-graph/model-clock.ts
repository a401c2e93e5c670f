import {setImmediate as nextTurn} from 'node:timers/promises';
import {type Clock, install} from '@sinonjs/fake-timers';
import {type Disposable} from '../../src/base/disposable.js';

/** A paused clock that advances from timer to timer and runs the asynchronous code that each timer starts in between. */
export class ModelClock implements Disposable {
	private readonly clock: Clock = install({now: 0, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'performance', 'Date']});

	get nowMs(): number {
		return this.clock.now;
	}

	/** Advances the clock by a duration. */
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
