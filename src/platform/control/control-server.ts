import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Disposable} from '../../base/disposable.js';
import {readBody} from '../../runtime/http/read-body.js';
import {LogService} from '../../runtime/log/log-service.js';
import {RelaySettingsService} from '../../runtime/settings/relay-settings-service.js';
import {InstanceService} from '../../services/backend/instance-service.js';
import {decodeReport} from './decode-report.js';

const pathPrefix = '/v1/instances/';
/** Far more than a report needs. */
const maxReportBytes = 65_536;
const okStatus = 200;
const badRequestStatus = 400;
const notFoundStatus = 404;
const unavailableStatus = 503;

/** Receives the reports of the VM's backend server and passes them to the instance service. */
export class ControlServer implements Disposable {
	private readonly server = createServer((request, response) => {
		void this.handle(request, response);
	});

	constructor(
		@RelaySettingsService private readonly settings: RelaySettingsService,
		@InstanceService private readonly instances: InstanceService,
		@LogService private readonly log: LogService,
	) {}

	/** The port that the server listens on; only available after `listen`. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		const {controlHost, controlPort} = this.settings.relay;
		this.server.listen(controlPort, controlHost);
		await once(this.server, 'listening');
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}

	private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		let status = badRequestStatus;
		try {
			const path = request.url ?? '';
			const instanceId = path.startsWith(pathPrefix) ? decodeURIComponent(path.slice(pathPrefix.length)) : '';
			status = instanceId === '' ? notFoundStatus : await this.processReport(request, instanceId);
		} catch (error) {
			this.log.warn('unreadable report', {path: request.url, method: request.method, reason: String(error)});
			// The rest of the body is not read.
			response.shouldKeepAlive = false;
		}

		response.writeHead(status, {'content-type': 'application/json'}).end('{}');
	}

	private async processReport(request: IncomingMessage, instanceId: string): Promise<number> {
		if (request.method === 'DELETE') {
			this.instances.recordDeparture(instanceId);
			return okStatus;
		}

		const decoded = request.method === 'PUT' ? decodeReport(instanceId, new TextDecoder().decode(await readBody(request, maxReportBytes))) : undefined;
		if (!decoded) {
			this.log.warn('malformed report', {instance: instanceId, method: request.method});
			return badRequestStatus;
		}

		const {backendHost, backendPort} = this.settings.relay;
		if (decoded.address !== `${backendHost}:${backendPort}`) {
			// Only the node on the VM of a backend server knows whether a report comes from it.
			return unavailableStatus;
		}

		this.instances.report(decoded.report);
		return okStatus;
	}
}
