import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import createRouter from 'find-my-way';
import {type Disposable} from '../../../base/disposable.js';
import {OperatorRoutes} from '../operator-routes.js';
import {type PolicyNode} from './policy-node.js';

/** HTTP server with the operators' endpoints of an in-memory node and a status of a few members. */
export class OperatorServer implements Disposable {
	/** Members besides the node itself, as shown in the status. */
	members: unknown[] = [];
	private readonly server: Server;
	private readonly router = createRouter();

	constructor(private readonly node: PolicyNode) {
		new OperatorRoutes(node.policy).register(this.router);
		this.router.on('GET', '/kumquatline/status', (_request, response) => {
			response.end(JSON.stringify(this.status()));
		});
		this.server = createServer((request, response) => {
			this.router.lookup(request, response);
		});
	}

	get url(): string {
		return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	async listen(): Promise<void> {
		await this.node.policy.start(new AbortController().signal);
		await new Promise<void>(resolve => {
			this.server.listen(0, '127.0.0.1', resolve);
		});
	}

	dispose(): void {
		this.server.closeAllConnections();
		this.server.close();
		this.node.dispose();
	}

	private status(): unknown {
		const {version} = this.node.policy;
		const self = {
			...this.node.peers.self, availabilityZone: 'a', region: 'perth-metro', callerPort: 7080, state: 'joined', slots: 0, policyVersion: version,
		};
		return {
			self, policyVersion: version, storeReachable: true, shards: {catalogue: [1, 2, 3]}, members: [self, ...this.members],
			admission: {
				inFlight: 3, limit: 8, queued: 2, queueWaitMs: 12.4, threshold: 0.25,
			},
			metrics: {
				counters: Object.fromEntries([
					['requests{caller=clerk,operation=read,outcome=answered}', 90],
					['requests{caller=clerk,operation=read,outcome=overloaded}', 7],
					['requests{caller=clerk,operation=charge,outcome=outcome-unknown}', 1],
					['retries{caller=clerk,operation=read,outcome=granted}', 4],
					['retries{caller=clerk,operation=read,outcome=denied}', 2],
				]),
			},
		};
	}
}
