import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {ErrorKind} from '../../src/base/error-kind.js';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {type ExchangeAnswer} from '../../src/services/exchange/exchange-answer.js';
import {type ExchangeRequest} from '../../src/services/exchange/exchange-request.js';
import {type ExchangeService} from '../../src/services/exchange/exchange-service.js';
import {type ModelRoute} from './model-route.js';

type BackendOptions = {
	readonly slots: number;
	readonly speed: number;
	readonly random: RandomGenerator;
	/** Makes an inner call of a running request; returns whether it was served. */
	readonly call: (routeName: string, requestId: string, monotonicDeadlineMs: number, signal: AbortSignal) => Promise<boolean>;
};

const okStatus = 200;
const internalErrorStatus = 500;
const gatewayTimeoutStatus = 504;

/** A backend server of a model; each execution holds a slot, also during its inner calls. */
export class ModelBackend implements ExchangeService {
	/** Slot time used since this was last set to 0. */
	busyMs = 0;
	running = 0;
	/** Fraction of its requests that the backend server sheds regardless of its load. */
	shedFraction = 0;
	/** Requests per second that the backend server states in its answers as its limit; undefined if it states none. */
	statedLimit: number | undefined;
	/** Times at which requests arrived, on the monotonic clock. */
	readonly arrivalsMs: number[] = [];
	/** Ids of the requests that arrived. */
	readonly arrivedIds: string[] = [];

	constructor(private readonly routes: ReadonlyMap<string, ModelRoute>, private readonly options: BackendOptions) {}

	async exchange({requestId, target, headers}: ExchangeRequest, signal: AbortSignal): Promise<ExchangeAnswer> {
		const deadlineMs = Number(headers[headers.indexOf('deadline') + 1]);
		const monotonicDeadlineMs = performance.now() + deadlineMs;
		this.arrivalsMs.push(performance.now());
		this.arrivedIds.push(requestId);
		if (this.running >= this.options.slots || uniformFloat64(this.options.random) < this.shedFraction) {
			throw new KumquatlineError(ErrorKind.BackendShed, 'refused', {started: false});
		}

		this.running++;
		const startedAtMs = performance.now();
		try {
			const status = await this.run(this.routes.get(target)!, requestId, monotonicDeadlineMs, signal);
			return {status, headers: this.statedLimit === undefined ? [] : ['request-limit', String(this.statedLimit)], body: new Uint8Array()};
		} finally {
			this.running--;
			this.busyMs += performance.now() - startedAtMs;
		}
	}

	private async run({workMs, calls}: ModelRoute, requestId: string, monotonicDeadlineMs: number, signal: AbortSignal): Promise<number> {
		const {speed, random} = this.options;
		// Work times are distributed uniformly between 0.5 and 1.5 times their mean.
		if (!await this.work(workMs / speed * (0.5 + uniformFloat64(random)), monotonicDeadlineMs, signal)) {
			return gatewayTimeoutStatus;
		}

		for (const [index, name] of calls.entries()) {
			if (!await this.options.call(name, `${requestId}.${index}`, monotonicDeadlineMs, signal)) {
				return performance.now() >= monotonicDeadlineMs ? gatewayTimeoutStatus : internalErrorStatus;
			}
		}

		return okStatus;
	}

	/** Simulates work; resolves with false if the deadline passes first. */
	private async work(workMs: number, monotonicDeadlineMs: number, signal: AbortSignal): Promise<boolean> {
		const remainingMs = monotonicDeadlineMs - performance.now();
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				resolve(workMs <= remainingMs);
			}, Math.max(0, Math.min(workMs, remainingMs)));
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
				reject(new KumquatlineError(ErrorKind.BackendFailed, 'the request was cancelled'));
			}, {once: true});
		});
	}
}
