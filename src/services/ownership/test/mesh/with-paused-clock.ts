import {install, type Clock} from '@sinonjs/fake-timers';

/** Wall-clock time at which paused clocks start, in milliseconds since 1970. */
export const pausedClockStartMs = 1_800_000_000_000;

/** Runs a body with a clock that advances only when the body advances it. */
export async function withPausedClock(body: (clock: Clock) => Promise<void>): Promise<void> {
	const clock = install({now: pausedClockStartMs, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance']});
	try {
		await body(clock);
	} finally {
		clock.uninstall();
	}
}
