import {Buffer} from 'node:buffer';
import {type ErrorKind} from '../../../../base/error-kind.js';
import {type Execution} from '../../../../base/execution.js';
import {KumquatlineError} from '../../../../base/kumquatline-error.js';
import {OwnershipService} from '../../ownership-service.js';
import {makeRequest} from './make-request.js';
import {type MeshNode} from './mesh-node.js';
import {Mesh, type MeshOptions} from './mesh.js';
import {withPausedClock} from './with-paused-clock.js';

type AttemptOutcome = {
	readonly answer?: string;
	readonly kind?: ErrorKind;
	readonly execution?: Execution;
	readonly started?: boolean;
};

const settleMs = 5000;

/** A mesh whose clock the test advances. */
export class MeshFixture {
	/** Runs a test body with a mesh of started nodes. */
	static async with(count: number, body: (fixture: MeshFixture) => Promise<void>, options: MeshOptions = {}): Promise<void> {
		await withPausedClock(async clock => {
			const fixture = new MeshFixture(new Mesh(1, options), clock);
			await fixture.settle(fixture.mesh.start(count));
			await body(fixture);
			fixture.mesh.dispose();
			await fixture.advance(settleMs);
		});
	}

	private constructor(readonly mesh: Mesh, private readonly clock: {tickAsync(durationMs: number): Promise<number>}) {}

	async advance(durationMs: number): Promise<void> {
		await this.clock.tickAsync(durationMs);
	}

	/** Advances the clock far enough for a promise to settle. */
	async settle<T>(promise: Promise<T>): Promise<T> {
		await this.advance(settleMs);
		return promise;
	}

	async attempt(node: MeshNode, request = makeRequest('order-1'), {signal} = new AbortController()): Promise<AttemptOutcome> {
		try {
			const answer = await node.get(OwnershipService).run(request, signal);
			return {answer: Buffer.from(answer.body).toString()};
		} catch (error) {
			if (!(error instanceof KumquatlineError)) {
				throw error;
			}

			const {kind, execution, started} = error;
			return {kind, execution, started};
		}
	}

	/** Makes an attempt and advances the clock until it has ended. */
	async attemptAndSettle(node: MeshNode, request = makeRequest('order-1')): Promise<AttemptOutcome> {
		return this.settle(this.attempt(node, request));
	}

	ownerOf(requestId: string): MeshNode {
		const owner = this.mesh.nodes.find(node => !node.process.isKilled && node.get(OwnershipService).isOwner('ledger', requestId));
		if (!owner) {
			throw new Error(`no node owns ${requestId}`);
		}

		return owner;
	}

	otherThan(node: MeshNode): MeshNode {
		return this.mesh.nodes.find(other => other !== node)!;
	}
}
