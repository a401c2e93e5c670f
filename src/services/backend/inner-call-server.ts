import {type IncomingMessage, type ServerResponse} from 'node:http';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {readBody} from '../../runtime/http/read-body.js';
import {writeAnswer} from '../calls/write-answer.js';
import {writeProblem} from '../../runtime/http/write-problem.js';
import {type CallAnswer} from '../calls/call-answer.js';
import {type CallRequest} from '../calls/call-request.js';
import {type PolicyService} from '../policy/policy-service.js';
import {type RoutingService} from '../routing/routing-service.js';
import {type RunningCall} from './running-call.js';
import {toInnerCall} from './to-inner-call.js';

/** Answers the inner calls that a backend server makes for its running calls. */
export class InnerCallServer {
	/** Executes the inner calls. */
	handler: (request: CallRequest, signal: AbortSignal) => Promise<CallAnswer> = refuseCall;

	constructor(private readonly routing: RoutingService, private readonly policyService: PolicyService) {}

	/** Serves an inner call of the running call that its context header identifies, if there is one. */
	async serve(parent: RunningCall | undefined, request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (!parent) {
			writeProblem(response, new KumquatlineError(ErrorKind.ContextUnknown, 'the context header belongs to no running call', {started: false}));
			return;
		}

		const controller = new AbortController();
		const onClose = () => {
			controller.abort();
		};

		parent.startInnerCall(controller);
		response.once('close', onClose);
		try {
			const answer = await this.run(parent, request, controller.signal);
			response.off('close', onClose);
			writeAnswer(response, answer);
		} catch (error) {
			response.off('close', onClose);
			writeError(response, error);
		} finally {
			parent.endInnerCall(controller);
		}
	}

	private async run(parent: RunningCall, request: IncomingMessage, signal: AbortSignal): Promise<CallAnswer> {
		const operation = this.routing.match(request.method!, request.url!);
		if (!operation) {
			throw new KumquatlineError(ErrorKind.RouteUnknown, 'no operation has this method and path', {started: false});
		}

		const body = await readBody(request, this.policyService.current.maxBodyBytes);
		const call = toInnerCall(parent, operation, request, body);
		if (parent.hasEnded || signal.aborted) {
			throw new KumquatlineError(ErrorKind.CallerGone, 'the parent request has ended', {started: false});
		}

		return this.handler(call, signal);
	}
}

function writeError(response: ServerResponse, error: unknown): void {
	if (response.destroyed || response.headersSent) {
		response.destroy();
		return;
	}

	writeProblem(response, error, {minted: false});
}

async function refuseCall(): Promise<never> {
	throw new KumquatlineError(ErrorKind.Internal, 'no handler for inner calls is set', {started: false});
}
