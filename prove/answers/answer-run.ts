import {setTimeout as delay} from 'node:timers/promises';
import {Agent, request as sendRequest} from 'undici';
import {type Disposable} from '../../src/base/disposable.js';
import {type Execution} from '../../src/base/execution.js';
import {type PeerService} from '../../src/runtime/peer/peer-service.js';
import {policyDocument} from '../../src/services/policy/policy-document.js';
import {RelayFault} from '../../standins/relay/relay-fault.js';
import {EventKind} from '../history/event-kind.js';
import {type History} from '../history/history.js';
import {answerBody} from './answer-body.js';
import {type AnswerStep} from './answer-step.js';
import {RelayedNode} from './relayed-node.js';

type Problem = {readonly kind: string; readonly execution: Execution; readonly started?: boolean};

const service = 'hire-desk';
const maxDelayMs = 40;
/** Maximum length of a damaged answer in the report. */
const maxShownCharacters = 60;

/** Sends marked requests to nodes while faults are injected into their connections. */
export class AnswerRun implements Disposable {
	private readonly agent = new Agent();
	private readonly nodes: readonly RelayedNode[];

	constructor(private readonly history: History, nodes: number, timeoutMs: number, peerClass: new (...services: any[]) => PeerService) {
		const operation = {service, importance: 'normal', timeoutMs};
		const policy = policyDocument.parse({
			version: 1,
			services: [{name: service}],
			operations: [
				{
					...operation, name: 'read-stock', method: 'GET', path: '/stock/:mark', idempotent: true,
				},
				{
					...operation, name: 'book', method: 'POST', path: '/bookings/:mark', idempotent: false,
				},
			],
			callers: [{name: 'foreman', patienceMs: 60_000, retryTotal: 0}],
		});
		this.nodes = Array.from({length: nodes}, (_, index) => new RelayedNode(`node-${index}`, service, policy, history, peerClass));
	}

	async start(): Promise<void> {
		for (const node of this.nodes) {
			await node.start();
		}

		const members = this.nodes.map(node => node.member);
		for (const node of this.nodes) {
			node.setMembers(members);
		}
	}

	/** Runs each step at its time and waits until every request has ended. */
	async runSchedule(steps: readonly AnswerStep[]): Promise<void> {
		const startedAtMs = performance.now();
		await Promise.all(steps.map(async (step, index) => {
			await delay(step.atMs - (performance.now() - startedAtMs));
			this.injectFault(step);
			await this.send(step, `mark-${index}`);
		}));
	}

	dispose(): void {
		void this.agent.destroy();
		for (const node of this.nodes) {
			node.dispose();
		}
	}

	private injectFault({fault, node}: AnswerStep): void {
		if (!fault) {
			return;
		}

		const {peerRelay, backendRelay, nodeId} = this.nodes[node];
		const relay = fault.atBackend ? backendRelay : peerRelay;
		relay.inject(fault.kind, fault.kind === RelayFault.Delay ? fault.amount % maxDelayMs : fault.amount);
		this.history.record({kind: EventKind.Fault, fault: fault.kind, nodeId});
	}

	private async send({request, node}: AnswerStep, mark: string): Promise<void> {
		if (!request) {
			return;
		}

		const {idempotent, delayMs, parts} = request;
		const attempt = {requestId: mark, mark, idempotent};
		this.history.record({...attempt, kind: EventKind.Sent, nodeId: this.nodes[node].nodeId});
		const path = `/${idempotent ? 'stock' : 'bookings'}/${mark}?delayMs=${delayMs}&parts=${parts}`;
		const {statusCode, body} = await sendRequest(`${this.nodes[node].callerUrl}${path}`, {
			dispatcher: this.agent, method: idempotent ? 'GET' : 'POST', headers: idempotent ? {} : {'idempotency-key': mark},
		});
		const text = await body.text();
		if (statusCode === 200) {
			const answerMark = text === answerBody(mark, parts) ? mark : text.slice(0, maxShownCharacters);
			this.history.record({
				...attempt, kind: EventKind.Answered, status: statusCode, answerMark,
			});
			return;
		}

		const {kind, execution, started} = JSON.parse(text) as Problem;
		this.history.record({
			...attempt, kind: EventKind.Answered, status: statusCode, errorKind: kind, execution, started,
		});
	}
}
