import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {type Disposable} from '../../src/base/disposable.js';
import {EventKind} from '../history/event-kind.js';
import {type History} from '../history/history.js';
import {answerBody} from './answer-body.js';

/** Backend server that answers each request with its mark; the request sets the size and the delay of the answer. */
export class MarkedBackendServer implements Disposable {
	private readonly server = createServer((request, response) => {
		void this.serve(request, response);
	});

	constructor(private readonly nodeId: string, private readonly history: History) {}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const {pathname, searchParams} = new URL(request.url!, 'http://backend');
		const mark = pathname.split('/').at(-1)!;
		this.history.record({
			kind: EventKind.ExecutionStarted, requestId: mark, nodeId: this.nodeId, idempotent: request.method === 'GET',
		});
		await delay(Number(searchParams.get('delayMs')));
		const body = answerBody(mark, Number(searchParams.get('parts')));
		response.setHeader('kumquatline-context', String(request.headers['kumquatline-context']));
		response.end(body);
	}
}
