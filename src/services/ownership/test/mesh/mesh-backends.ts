import {Buffer} from 'node:buffer';
import {ErrorKind} from '../../../../base/error-kind.js';
import {KumquatlineError} from '../../../../base/kumquatline-error.js';
import {type CallAnswer} from '../../../calls/call-answer.js';
import {type CallRequest} from '../../../calls/call-request.js';
import {type UpstreamCall, type UpstreamService} from '../../../calls/upstream-service.js';
import {type MeshConditions} from './mesh-conditions.js';
import {type MeshProcess} from './mesh-process.js';

type BackendExecution = {
	readonly requestId: string;
	readonly rootId: string;
	readonly atMs: number;
	readonly enteredAtMs: number;
	readonly sentBy: string;
	/** Value of the header `attempt`, by which a caller distinguishes its attempts. */
	readonly attemptId: string | undefined;
};

/** The backend servers of a mesh; they record their executions. */
export class MeshBackends {
	readonly executions: BackendExecution[] = [];
	/** Fraction of calls that are shed before they start. */
	shedShare = 0;
	/** Fraction of calls that start and then return no answer. */
	failureRate = 0;
	/** Time that a call waits before it starts. */
	queueMs = 0;
	workMs = 20;

	constructor(readonly conditions: MeshConditions) {}

	/** Executes a call that a node has sent; it continues whatever happens to the node. */
	async handle(request: CallRequest, sentBy: string, dropSignal?: AbortSignal): Promise<CallAnswer> {
		await this.conditions.transit();
		await this.conditions.pause(this.queueMs);
		if (dropSignal?.aborted) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'the caller disconnected before the call started', {started: false});
		}

		if (this.conditions.chance(this.shedShare)) {
			throw new KumquatlineError(ErrorKind.BackendShed, 'the backend server shed the call', {started: false});
		}

		const {requestId, context: {rootId, enteredAtMs}} = request;
		this.executions.push({
			requestId, rootId, enteredAtMs, sentBy, atMs: Date.now(), attemptId: request.headers.attempt,
		});
		await this.conditions.pause(this.workMs * (1 + this.conditions.random.next()));
		if (this.conditions.chance(this.failureRate)) {
			throw new KumquatlineError(ErrorKind.BackendFailed, 'failed', {started: true});
		}

		return {status: 200, headers: {}, body: Buffer.from(`done ${requestId}`)};
	}
}

/** One node's access to the backend servers of a mesh. */
export class MeshUpstreamService implements UpstreamService {
	constructor(private readonly backends: MeshBackends, private readonly process: MeshProcess) {}

	async execute(request: CallRequest, call: UpstreamCall): Promise<CallAnswer> {
		await this.backends.conditions.transit();
		await this.process.running();
		call.onWillSend?.(this.process.nodeId);
		try {
			return await this.backends.handle(request, this.process.nodeId, call.dropSignal);
		} finally {
			await this.process.running();
		}
	}
}
