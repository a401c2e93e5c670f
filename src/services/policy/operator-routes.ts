import {type IncomingMessage, type ServerResponse} from 'node:http';
import type createRouter from 'find-my-way';
import {ErrorKind} from '../../base/error-kind.js';
import {KumquatlineError} from '../../base/kumquatline-error.js';
import {readBody} from '../../runtime/http/read-body.js';
import {writeJson} from '../../runtime/http/write-json.js';
import {writeProblem} from '../../runtime/http/write-problem.js';
import {type PolicyPatch, type PolicyService} from './policy-service.js';
import {previewPolicy} from './preview-policy.js';

type Router = ReturnType<typeof createRouter>;
type Handler = (body: unknown, signal: AbortSignal) => Promise<unknown>;

const maxBodyBytes = 1_048_576;
/** How long a change may wait for the store to confirm its outcome. */
const changeTimeoutMs = 15_000;

/** HTTP endpoints for operators, under /kumquatline/policy of every node. */
export class OperatorRoutes {
	constructor(private readonly policy: PolicyService) {}

	register(router: Router): void {
		this.get(router, '/kumquatline/policy', () => this.document());
		this.get(router, '/kumquatline/policy/history', () => ({version: this.policy.version, patches: this.policy.current.recentPatches}));
		this.post(router, '/kumquatline/policy/validate', async body => previewPolicy(this.policy, body));
		this.post(router, '/kumquatline/policy/patch', async (body, signal) => this.policy.submit(body as PolicyPatch, signal));
		this.post(router, '/kumquatline/policy/init', async (body, signal) => this.policy.initialize(body, signal));
		this.post(router, '/kumquatline/policy/restore', async (_body, signal) => this.policy.restore(signal));
	}

	/** The policy in force in the form that operators write, without its history. */
	private document(): unknown {
		const {recentPatches, ...document} = this.policy.current;
		return document;
	}

	private get(router: Router, path: string, answer: () => unknown): void {
		router.on('GET', path, (_request, response) => {
			void this.respond(response as ServerResponse, async () => answer());
		});
	}

	private post(router: Router, path: string, answer: Handler): void {
		router.on('POST', path, (request, response) => {
			void this.respond(response as ServerResponse, async signal => answer(await this.readJson(request as IncomingMessage), signal));
		});
	}

	private async respond(response: ServerResponse, answer: (signal: AbortSignal) => Promise<unknown>): Promise<void> {
		const controller = new AbortController();
		const timer = setTimeout(() => {
			controller.abort();
		}, changeTimeoutMs);
		response.once('close', () => {
			controller.abort();
		});
		try {
			writeJson(response, await answer(controller.signal));
		} catch (error) {
			writeProblem(response, error);
		} finally {
			clearTimeout(timer);
		}
	}

	private async readJson(request: IncomingMessage): Promise<unknown> {
		const body = await readBody(request, maxBodyBytes);
		try {
			return JSON.parse(new TextDecoder().decode(body));
		} catch (error) {
			throw new KumquatlineError(ErrorKind.BadRequest, 'the body is not JSON', {started: false, cause: error});
		}
	}
}
