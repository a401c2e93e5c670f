import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {createRandom} from '../../src/base/create-random.js';
import {type Disposable} from '../../src/base/disposable.js';
import {Emitter} from '../../src/base/emitter.js';
import {type Member} from '../../src/services/membership/member.js';
import {ModelClock} from './model-clock.js';
import {ModelNode, type ModelSurroundings} from './model-node.js';
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

/** Requests of a route in one run, and how many of them were served within the goal. */
export type ServedCounts = {
	asked: number;
	inGoal: number;
};

/** Callers retry only if the delay before it is less than this fraction of their remaining time. */
const longestReturnShare = 1 / 3;

/** A graph of services on a paused clock, whose nodes make their decisions with the product's own code. */
export class ModelGraph implements Disposable {
	readonly clock = new ModelClock();
	readonly nodes: readonly ModelNode[];
	private readonly nodesByService = new Map<string, ModelNode[]>();
	private readonly random;
	private counts = new Map<string, ServedCounts>();
	private readonly timers: NodeJS.Timeout[] = [];
	private sent = 0;

	constructor({services, routes, zones, messageMs = 0, seed = 1}: GraphOptions) {
		this.random = createRandom(seed, 'callers');
		const surroundings: ModelSurroundings = {
			routes: new Map(routes.map(route => [route.name, route])), members: new Map(), peers: new Map(), onDidChange: new Emitter<Member>(), messageMs, seed,
		};
		for (const [place, {name, slots, speeds}] of services.entries()) {
			this.nodesByService.set(name, speeds.map((speed, index) => new ModelNode({
				name: `${name}-${index}`, zone: zones[(place + index) % zones.length], service: name, slots, speed,
			}, surroundings)));
		}

		this.nodes = [...this.nodesByService.values()].flat();
	}

	/** Returns the nodes of a service's backend servers. */
	nodesOf(service: string): readonly ModelNode[] {
		return this.nodesByService.get(service)!;
	}

	/** Runs with the demand for a duration and returns counts by route; a request counts in the run in which it was sent. */
	async run(durationMs: number, demands: readonly Demand[]): Promise<ReadonlyMap<string, ServedCounts>> {
		this.counts = new Map(demands.map(({route}) => [route, {asked: 0, inGoal: 0}]));
		const until = performance.now() + durationMs;
		for (const demand of demands) {
			this.arrive(demand, until);
		}

		await this.clock.run(durationMs);
		return this.counts;
	}

	/** Returns the utilisation of a service's slots since the last call. */
	takeBusyShare(service: string, slots: number, durationMs: number): number {
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
	private arrive(demand: Demand, untilMs: number): void {
		const gapMs = -Math.log(1 - uniformFloat64(this.random)) * 1000 / demand.perSecond;
		this.timers.push(setTimeout(() => {
			if (performance.now() < untilMs) {
				void this.ask(demand, this.counts.get(demand.route)!);
				this.arrive(demand, untilMs);
			}
		}, gapMs));
	}

	/** Simulates one caller, which sends a request and retries it once if it was refused with a retry delay. */
	private async ask({route, goalMs, patienceMs}: Demand, counts: ServedCounts): Promise<void> {
		const beganAtMs = performance.now();
		const node = this.nodes[Math.floor(uniformFloat64(this.random) * this.nodes.length)];
		const {signal} = new AbortController();
		counts.asked++;
		const first = await node.send(route, `r${this.sent++}`, patienceMs, signal);
		let {served} = first;
		const leftMs = patienceMs - (performance.now() - beganAtMs);
		if (first.retryAfterMs !== undefined && first.retryAfterMs < leftMs * longestReturnShare) {
			await new Promise<void>(resolve => {
				setTimeout(resolve, first.retryAfterMs);
			});
			const again = await node.send(route, `r${this.sent++}`, patienceMs - (performance.now() - beganAtMs), signal, true);
			served = again.served;
		}

		counts.inGoal += served && performance.now() - beganAtMs <= goalMs ? 1 : 0;
	}
}
