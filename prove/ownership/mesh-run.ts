import {Buffer} from 'node:buffer';
import {v7} from 'uuid';
import {KumquatlineError} from '../../src/base/kumquatline-error.js';
import {type CallAnswer} from '../../src/services/calls/call-answer.js';
import {type CallRequest} from '../../src/services/calls/call-request.js';
import {MemberState} from '../../src/services/membership/member-state.js';
import {OwnershipService} from '../../src/services/ownership/ownership-service.js';
import {makeRequest} from '../../src/services/ownership/test/mesh/make-request.js';
import {type MeshNode} from '../../src/services/ownership/test/mesh/mesh-node.js';
import {type Mesh} from '../../src/services/ownership/test/mesh/mesh.js';
import {EventKind} from '../history/event-kind.js';
import {type History} from '../history/history.js';
import {MeshAction} from './mesh-action.js';
import {type MeshStep} from './mesh-step.js';

/** Silence after which the others hear that a node is dead. */
const suspicionMs = 1000;
const lostShare = 0.5;
const closingMs = 10_000;
const longestDelayMs = 2000;
const shortestPatienceMs = 500;

/** How a schedule's attempts are put to a node. */
export type MeshCall = (node: MeshNode, request: CallRequest) => Promise<CallAnswer>;

/** Carries a schedule out on a mesh and records what callers saw. */
export class MeshRun {
	private readonly requestIds = new Map<number, string>();
	private readonly usualFailedShare: number;
	private attemptCount = 0;

	constructor(
		private readonly mesh: Mesh,
		private readonly history: History,
		private readonly call: MeshCall,
	) {
		this.usualFailedShare = mesh.parts.backends.failureRate;
	}

	async carryOut(step: MeshStep): Promise<void> {
		if (step.action === MeshAction.Send) {
			await this.send(step.node, step.other, shortestPatienceMs + step.durationMs);
			return;
		}

		if (!this.isPossible(step)) {
			return;
		}

		this.history.record({kind: EventKind.Fault, fault: step.action, nodeId: `node-${step.node}`});
		await this.inflict(step);
	}

	/** Sends an attempt of the id of an index to a node and records its outcome. */
	async send(nodeIndex: number, idIndex: number, patienceMs: number): Promise<void> {
		const node = this.mesh.nodes[nodeIndex];
		const isClosed = node.process.isKilled || node.membership.self.state === MemberState.Draining;
		if (isClosed) {
			return;
		}

		const requestId = this.requestIdOf(idIndex);
		const attemptId = `attempt-${++this.attemptCount}`;
		const mark = `done ${requestId}`;
		this.history.record({
			kind: EventKind.Sent, requestId, attemptId, nodeId: node.nodeId,
		});
		const attempt = {requestId, attemptId, mark};
		try {
			const request = makeRequest(requestId, {headers: {attempt: attemptId}}, {deadlineAtMs: Date.now() + patienceMs});
			const answer = await this.call(node, request);
			const answerMark = Buffer.from(answer.body).toString();
			this.history.record({
				...attempt, kind: EventKind.Answered, status: answer.status, answerMark,
			});
		} catch (error) {
			if (!(error instanceof KumquatlineError)) {
				throw error;
			}

			const {kind, execution, started} = error;
			this.history.record({
				...attempt, kind: EventKind.Answered, errorKind: kind, execution, started,
			});
		}
	}

	/** Every other id is time-ordered and minted when it is first sent. */
	private requestIdOf(idIndex: number): string {
		const known = this.requestIds.get(idIndex);
		if (known !== undefined) {
			return known;
		}

		const requestId = idIndex % 2 === 0 ? v7({msecs: Date.now()}) : `order-${idIndex}`;
		this.requestIds.set(idIndex, requestId);
		return requestId;
	}

	/** Whether a fault can be brought about now; the last node that serves does not leave in a planned way. */
	private isPossible({action, node: nodeIndex}: MeshStep): boolean {
		const node = this.mesh.nodes[nodeIndex];
		const hasSuccessor = this.mesh.nodes.some(other => other !== node && !other.process.isKilled && other.membership.self.state === MemberState.Serving);
		return !node.process.isKilled && (action !== MeshAction.Leave || hasSuccessor);
	}

	private async inflict({action, node: nodeIndex, other, durationMs}: MeshStep): Promise<void> {
		const node = this.mesh.nodes[nodeIndex];
		const {conditions, store, backends} = this.mesh.parts;
		switch (action) {
			case MeshAction.Kill: {
				await this.mesh.kill(node);
				await this.replace(node, durationMs);
				return;
			}

			case MeshAction.Leave: {
				await this.leave(node);
				await this.replace(node, durationMs);
				return;
			}

			case MeshAction.Freeze: {
				node.process.freeze();
				await this.silence(node, durationMs);
				node.process.thaw();
				return;
			}

			case MeshAction.Isolate: {
				const others = this.mesh.nodes.filter(({nodeId}) => nodeId !== node.nodeId);
				for (const {nodeId} of others) {
					conditions.cut(node.nodeId, nodeId);
				}

				await this.silence(node, durationMs);
				for (const {nodeId} of others) {
					conditions.reconnect(node.nodeId, nodeId);
				}

				return;
			}

			case MeshAction.Cut: {
				const {nodeId} = this.mesh.nodes[other];
				conditions.cut(node.nodeId, nodeId);
				await conditions.pause(durationMs);
				conditions.reconnect(node.nodeId, nodeId);
				return;
			}

			case MeshAction.CutStore: {
				node.process.isStoreCut = true;
				await conditions.pause(durationMs);
				node.process.isStoreCut = false;
				return;
			}

			case MeshAction.StoreOutage: {
				store.isDown = true;
				await conditions.pause(durationMs);
				store.isDown = false;
				return;
			}

			case MeshAction.Delay: {
				conditions.extraDelayMs = longestDelayMs;
				await conditions.pause(durationMs);
				conditions.extraDelayMs = 0;
				return;
			}

			case MeshAction.Doubt: {
				this.mesh.gossip(node, MemberState.Dead);
				await conditions.pause(durationMs);
				this.mesh.gossip(node, node.process.isKilled ? MemberState.Dead : MemberState.Serving);
				return;
			}

			case MeshAction.LoseAnswers: {
				conditions.lostReplyRate = lostShare;
				await conditions.pause(durationMs);
				conditions.lostReplyRate = 0;
				return;
			}

			case MeshAction.LoseStoreAnswers: {
				conditions.lostStoreResultRate = lostShare;
				await conditions.pause(durationMs);
				conditions.lostStoreResultRate = 0;
				return;
			}

			case MeshAction.Shed: {
				backends.shedShare = lostShare;
				await conditions.pause(durationMs);
				backends.shedShare = 0;
				return;
			}

			case MeshAction.Fail: {
				backends.failureRate = lostShare;
				await conditions.pause(durationMs);
				backends.failureRate = this.usualFailedShare;
				return;
			}

			case MeshAction.Send: {
				throw new Error('a send is no fault');
			}
		}
	}

	/** The others take a silent node for dead after a while, until it is heard again. */
	private async silence(node: MeshNode, durationMs: number): Promise<void> {
		await this.mesh.parts.conditions.pause(Math.min(durationMs, suspicionMs));
		if (durationMs > suspicionMs) {
			this.mesh.gossip(node, MemberState.Dead);
			await this.mesh.parts.conditions.pause(durationMs - suspicionMs);
		}

		if (!node.process.isKilled) {
			this.mesh.gossip(node, MemberState.Serving);
		}
	}

	private async leave(node: MeshNode): Promise<void> {
		node.membership.drain();
		this.mesh.gossip(node, MemberState.Draining);
		await node.get(OwnershipService).handOver(new AbortController().signal);
		// A node ends only when the calls that it sends on are over.
		await this.mesh.parts.conditions.pause(closingMs);
		await this.endRegistration(node);
		await this.mesh.kill(node);
	}

	private async endRegistration(node: MeshNode): Promise<void> {
		try {
			await node.membership.leave(new AbortController().signal);
		} catch (error) {
			if (!(error instanceof KumquatlineError)) {
				throw error;
			}
		}
	}

	private async replace(node: MeshNode, afterMs: number): Promise<void> {
		await this.mesh.parts.conditions.pause(afterMs);
		const isStillThere = this.mesh.nodes.includes(node);
		if (isStillThere) {
			await this.mesh.add(node.nodeId);
		}
	}
}
