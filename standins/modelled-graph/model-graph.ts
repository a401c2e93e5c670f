import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {createRandom} from '../../src/base/create-random.js';
import {type Disposable} from '../../src/base/disposable.js';
import {Emitter} from '../../src/base/emitter.js';
import {type Member} from '../../src/services/membership/member.js';
import {ModelClock} from './model-clock.js';
import {ModelNode, type ModelEnvironment} from './model-node.js';
import {type ModelRoute} from './model-route.js';
import {type ModelService} from './model-service.js';

/** Demand of callers for one route. */
type Demand = {
	readonly route: string;
	readonly perSecond: number;
	/** Time within which an answer is useful to the caller. */
	readonly goalMs: number;
	readonly patienceMs: number;
};

type GraphOptions = {
	readonly services: readonly ModelService[];
	readonly routes: readonly ModelRoute[];
	readonly zones: readonly string[];
	readonly messageMs?: number;
	readonly seed?: number;
};

/** Requests of a route in one run, and how many of them were served within the goal, refused as not executed, or failed otherwise. */
export type ServedCounts = {
	sent: number;
	withinGoal: number;
	refused: number;
	failed: number;
};

/** Callers retry only if the delay before it is less than this fraction of their remaining time. */
const maxRetryDelayFraction = 1 / 3;

/** A graph of services on a paused clock, whose nodes make their decisions with the product's own code. */
export class ModelGraph implements Disposable {
	readonly clock = new ModelClock();
	readonly nodes: readonly ModelNode[];
	private readonly nodesByService = new Map<string, ModelNode[]>();
	private readonly random;
	private counts = new Map<string, ServedCounts>();
	private readonly timers: NodeJS.Timeout[] = [];
	private nextRequestNumber = 0;

	constructor({services, routes, zones, messageMs = 0, seed = 1}: GraphOptions) {
		this.random = createRandom(seed, 'callers');
		const environment: ModelEnvironment = {
			routes: new Map(routes.map(route => [route.name, route])), members: new Map(), peers: new Map(), onDidChange: new Emitter<Member>(), messageMs, seed,
		};
		for (const [serviceIndex, {name, slots, speeds}] of services.entries()) {
			this.nodesByService.set(name, speeds.map((speed, index) => new ModelNode({
				name: `${name}-${index}`, zone: zones[(serviceIndex + index) % zones.length], service: name, slots, speed,
			}, environment)));
		}

		this.nodes = [...this.nodesByService.values()].flat();
	}

	/** Returns the nodes of a service's backend servers. */
	nodesOf(service: string): readonly ModelNode[] {
		return this.nodesByService.get(service)!;
	}

	/** Runs with the demand for a duration and returns counts by route; a request counts in the run in which it was sent. */
	async run(durationMs: number, demands: readonly Demand[]): Promise<ReadonlyMap<string, ServedCounts>> {
		this.counts = new Map(demands.map(({route}) => [route, {
			sent: 0, withinGoal: 0, refused: 0, failed: 0,
		}]));
		const untilMs = performance.now() + durationMs;
		for (const demand of demands) {
			this.scheduleRequests(demand, untilMs);
		}

		await this.clock.run(durationMs);
		return this.counts;
	}

	/** Returns the utilisation of a service's slots since the last call. */
	takeUtilisation(service: string, slots: number, durationMs: number): number {
		let busyMs = 0;
		for (const {backend} of this.nodesOf(service)) {
			busyMs += backend.busyMs;
			backend.busyMs = 0;
		}

		return busyMs / (slots * durationMs);
	}

	dispose(): void {
		for (const timer of this.timers) {
			clearTimeout(timer);
		}

		this.clock.dispose();
	}

	/** Schedules requests at random times with the demand's mean rate. */
	private scheduleRequests(demand: Demand, untilMs: number): void {
		const interarrivalMs = -Math.log(1 - uniformFloat64(this.random)) * 1000 / demand.perSecond;
		this.timers.push(setTimeout(() => {
			if (performance.now() < untilMs) {
				void this.simulateCaller(demand, this.counts.get(demand.route)!);
				this.scheduleRequests(demand, untilMs);
			}
		}, interarrivalMs));
	}

	/** Simulates one caller, which sends a request and retries it once if it was refused with a retry delay. */
	private async simulateCaller({route, goalMs, patienceMs}: Demand, counts: ServedCounts): Promise<void> {
		const startedAtMs = performance.now();
		const node = this.nodes[Math.floor(uniformFloat64(this.random) * this.nodes.length)];
		const {signal} = new AbortController();
		counts.sent++;
		const first = await node.send(route, `r${this.nextRequestNumber++}`, patienceMs, signal);
		let last = first;
		const remainingMs = patienceMs - (performance.now() - startedAtMs);
		if (first.retryAfterMs !== undefined && first.retryAfterMs < remainingMs * maxRetryDelayFraction) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, first.retryAfterMs);
			});
			last = await node.send(route, `r${this.nextRequestNumber++}`, patienceMs - (performance.now() - startedAtMs), signal, true);
		}

		counts.withinGoal += last.served && performance.now() - startedAtMs <= goalMs ? 1 : 0;
		if (!last.served) {
			counts[last.retryAfterMs === undefined ? 'failed' : 'refused']++;
		}
	}
}
