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
	/** Value of the header `attempt`, by which a caller tells its attempts apart. */
	readonly attemptId: string | undefined;
};

/** The backend servers of a mesh, which record what they execute. */
export class MeshBackends {
	readonly executions: BackendExecution[] = [];
	/** Share of calls that are shed before they begin. */
	shedShare = 0;
	/** Share of calls that begin and then give no answer. */
	failedShare = 0;
	/** Time that work waits before it begins. */
	queueMs = 0;
	workMs = 20;

	constructor(readonly conditions: MeshConditions) {}

	/** Takes a call that a node has sent: it goes on whatever happens to the node. */
	async take(request: CallRequest, sentBy: string, unwanted?: AbortSignal): Promise<CallAnswer> {
		await this.conditions.transit();
		await this.conditions.pause(this.queueMs);
		if (unwanted?.aborted) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'dropped', {started: false});
		}

		if (this.conditions.chance(this.shedShare)) {
			throw new KumquatlineError(ErrorKind.BackendShed, 'shed', {started: false});
		}

		const {requestId, context: {rootId, enteredAtMs}} = request;
		this.executions.push({
			requestId, rootId, enteredAtMs, sentBy, atMs: Date.now(), attemptId: request.headers.attempt,
		});
		await this.conditions.pause(this.workMs * (1 + this.conditions.random.next()));
		if (this.conditions.chance(this.failedShare)) {
			throw new KumquatlineError(ErrorKind.BackendFailed, 'failed', {started: true});
		}

		return {status: 200, headers: {}, body: Buffer.from(`done ${requestId}`)};
	}
}

/** One node's way to the backend servers of a mesh. */
export class MeshUpstreamService implements UpstreamService {
	constructor(private readonly backends: MeshBackends, private readonly process: MeshProcess) {}

	async execute(request: CallRequest, call: UpstreamCall): Promise<CallAnswer> {
		await this.backends.conditions.transit();
		await this.process.running();
		call.onWillSend?.(this.process.nodeId);
		try {
			return await this.backends.take(request, this.process.nodeId, call.unwanted);
		} finally {
			await this.process.running();
		}
	}
}
