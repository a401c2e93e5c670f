import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {text} from 'node:stream/consumers';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {type Disposable} from '../../src/base/disposable.js';
import {type StoreFaults} from './store-faults.js';
import {StoreRequests} from './store-requests.js';
import {StoreState} from './store-state.js';
import {StoreWatch} from './store-watch.js';

const watchPath = '/v1/kv-watch';
const goneStatus = 410;

/**
Stand-in for the platform's key-value store: its HTTP protocol, in memory, with faults on demand.
Several stand-ins with the same state act as one store that is reached from several availability zones.
*/
export class StoreStandIn implements Disposable {
	private readonly requests: StoreRequests;
	private readonly server: Server;
	private readonly sockets = new Set<Socket>();
	private readonly silentSockets = new WeakSet<Socket>();
	private readonly watches = new Set<StoreWatch>();
	private readonly counts = new Map<string, number>();
	private readonly timers = new Set<NodeJS.Timeout>();
	private outage = false;
	private slowMs = 0;
	private turnAwayStatus = 0;
	private holdsDiscarded = false;
	private loseAnswers = 0;
	private random: RandomGenerator = xoroshiro128plus(1);

	constructor(readonly state: StoreState = new StoreState()) {
		this.requests = new StoreRequests(state);
		this.server = createServer((request, response) => {
			void this.handle(request, response);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.on('close', () => this.sockets.delete(socket));
		});
	}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	get url(): string {
		return `http://127.0.0.1:${this.port}`;
	}

	/** Number of open watches, including silent ones. */
	get openWatches(): number {
		return this.watches.size;
	}

	async listen(port = 0): Promise<void> {
		return new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, '127.0.0.1', resolve);
		});
	}

	/** Number of calls by name since the start; each watch counts as one. */
	callCounts(): Record<string, number> {
		return Object.fromEntries(this.counts);
	}

	setFaults(faults: StoreFaults): void {
		this.outage = faults.outage ?? this.outage;
		this.slowMs = faults.slowMs ?? this.slowMs;
		this.holdsDiscarded = faults.holdsDiscarded ?? this.holdsDiscarded;
		this.loseAnswers = faults.loseAnswers ?? this.loseAnswers;
		this.turnAwayStatus = faults.turnAwayStatus ?? this.turnAwayStatus;
		if (faults.seed !== undefined) {
			this.random = xoroshiro128plus(faults.seed);
		}

		if (faults.forgetHistory) {
			this.state.discardHistory();
		}

		if (faults.silentWatches) {
			for (const watch of this.watches) {
				watch.silence();
			}
		}

		if (faults.cutWatches) {
			for (const watch of this.watches) {
				watch.cut();
			}
		}

		if (faults.silent) {
			this.silenceConnections();
		}

		if (faults.outage) {
			this.cutConnections();
		}
	}

	dispose(): void {
		this.server.close();
		this.cutConnections();
		for (const timer of this.timers) {
			clearTimeout(timer);
		}

		this.state.dispose();
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(request.url ?? '', this.url);
		if (!pathname.startsWith('/v1/')) {
			await this.handleControl(pathname, request, response);
			return;
		}

		if (this.outage) {
			request.socket.destroy();
			return;
		}

		if (this.silentSockets.has(request.socket)) {
			return;
		}

		const call = pathname.split('/')[2];
		this.counts.set(call, (this.counts.get(call) ?? 0) + 1);
		const body = await text(request);
		if (this.turnAwayStatus > 0) {
			response.writeHead(this.turnAwayStatus).end();
			return;
		}

		if (pathname === watchPath) {
			this.watch(searchParams, response);
			return;
		}

		const answer = this.requests.answer(request.method!, pathname, searchParams, body === '' ? undefined : JSON.parse(body));
		this.runDelayed(() => {
			this.sendAnswer(response, answer);
		});
	}

	private sendAnswer(response: ServerResponse, {status, body}: ReturnType<StoreRequests['answer']>): void {
		if (this.silentSockets.has(response.req.socket)) {
			return;
		}

		const isWrite = response.req.method !== 'GET';
		if (isWrite && this.loseAnswers > 0 && uniformFloat64(this.random) < this.loseAnswers) {
			response.req.socket.destroy();
			return;
		}

		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body ?? {}));
	}

	private watch(query: URLSearchParams, response: ServerResponse): void {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const answer = this.requests.events(prefix, after);
		if (answer && !(answer.status === goneStatus && this.holdsDiscarded)) {
			this.sendAnswer(response, answer);
			return;
		}

		const watch = new StoreWatch(this.state, this.requests, {prefix, after, maxWaitMs: Number(query.get('maxWaitMs'))}, {
			sendAnswer: change => {
				this.runDelayed(() => {
					this.sendAnswer(response, change);
				});
			},
			cut() {
				response.req.socket.destroy();
			},
		});
		this.watches.add(watch);
		response.on('close', () => {
			this.watches.delete(watch);
			watch.dispose();
		});
	}

	private runDelayed(action: () => void): void {
		if (this.slowMs === 0) {
			action();
			return;
		}

		const timer = setTimeout(() => {
			this.timers.delete(timer);
			action();
		}, this.slowMs);
		this.timers.add(timer);
	}

	private async handleControl(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const faults = path === '/faults' ? JSON.parse(await text(request)) as StoreFaults : {};
		const known = path === '/faults' || path === '/counts';
		response.writeHead(known ? 200 : 404, {'content-type': 'application/json', connection: 'close'});
		// Faults can cut all connections, including this one, and are therefore set after the answer was sent.
		response.end(JSON.stringify({calls: this.callCounts(), openWatches: this.openWatches}), () => {
			this.setFaults(faults);
		});
	}

	private silenceConnections(): void {
		for (const socket of this.sockets) {
			this.silentSockets.add(socket);
		}

		for (const watch of this.watches) {
			watch.silence();
		}
	}

	private cutConnections(): void {
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}
