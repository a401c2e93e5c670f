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

/** Silence after which the other nodes see a node as dead. */
const suspicionMs = 1000;
const faultFraction = 0.5;
const drainMs = 10_000;
const maxDelayMs = 2000;
const minTimeoutMs = 500;

/** How an attempt of a schedule is sent to a node. */
export type MeshCall = (node: MeshNode, request: CallRequest) => Promise<CallAnswer>;

/** Runs the steps of a schedule on a mesh and records what callers saw. */
export class MeshRun {
	private readonly requestIds = new Map<number, string>();
	private readonly defaultFailureRate: number;
	private attemptCount = 0;

	constructor(
		private readonly mesh: Mesh,
		private readonly history: History,
		private readonly call: MeshCall,
	) {
		this.defaultFailureRate = mesh.parts.backends.failureRate;
	}

	async runStep(step: MeshStep): Promise<void> {
		if (step.action === MeshAction.Send) {
			await this.send(step.node, step.other, minTimeoutMs + step.durationMs);
			return;
		}

		if (!this.canInject(step)) {
			return;
		}

		this.history.record({kind: EventKind.Fault, fault: step.action, nodeId: `node-${step.node}`});
		await this.injectFault(step);
	}

	/** Sends an attempt of the id with the given index to a node and records its outcome. */
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

	/** Every other id is a time-ordered UUID that is created when it is first sent. */
	private requestIdOf(idIndex: number): string {
		const known = this.requestIds.get(idIndex);
		if (known !== undefined) {
			return known;
		}

		const requestId = idIndex % 2 === 0 ? v7({msecs: Date.now()}) : `order-${idIndex}`;
		this.requestIds.set(idIndex, requestId);
		return requestId;
	}

	/** Whether a fault can be injected now; the last serving node can't leave, as it has no successor. */
	private canInject({action, node: nodeIndex}: MeshStep): boolean {
		const node = this.mesh.nodes[nodeIndex];
		const hasSuccessor = this.mesh.nodes.some(other => other !== node && !other.process.isKilled && other.membership.self.state === MemberState.Serving);
		return !node.process.isKilled && (action !== MeshAction.Leave || hasSuccessor);
	}

	private async injectFault({action, node: nodeIndex, other, durationMs}: MeshStep): Promise<void> {
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
				await this.simulateSilence(node, durationMs);
				node.process.thaw();
				return;
			}

			case MeshAction.Isolate: {
				const others = this.mesh.nodes.filter(({nodeId}) => nodeId !== node.nodeId);
				for (const {nodeId} of others) {
					conditions.cut(node.nodeId, nodeId);
				}

				await this.simulateSilence(node, durationMs);
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
				conditions.extraDelayMs = maxDelayMs;
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
				conditions.lostReplyRate = faultFraction;
				await conditions.pause(durationMs);
				conditions.lostReplyRate = 0;
				return;
			}

			case MeshAction.LoseStoreAnswers: {
				conditions.lostStoreResultRate = faultFraction;
				await conditions.pause(durationMs);
				conditions.lostStoreResultRate = 0;
				return;
			}

			case MeshAction.Shed: {
				backends.shedShare = faultFraction;
				await conditions.pause(durationMs);
				backends.shedShare = 0;
				return;
			}

			case MeshAction.Fail: {
				backends.failureRate = faultFraction;
				await conditions.pause(durationMs);
				backends.failureRate = this.defaultFailureRate;
				return;
			}

			case MeshAction.Send: {
				throw new Error('a send step is not a fault');
			}
		}
	}

	/** The other nodes see a silent node as dead after `suspicionMs`, until its silence ends. */
	private async simulateSilence(node: MeshNode, durationMs: number): Promise<void> {
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
		// A node exits only after the calls that it forwards have ended.
		await this.mesh.parts.conditions.pause(drainMs);
		await this.deregister(node);
		await this.mesh.kill(node);
	}

	private async deregister(node: MeshNode): Promise<void> {
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
