import {once} from 'node:events';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {type Disposable} from '../base/disposable.js';
import {type RelaySettings} from '../runtime/settings/relay-settings.js';

const okStatus = 200;
const unavailableStatus = 503;

/** The readiness endpoint: tells whether the node accepts requests from the callers of its VM. */
export class ReadyServer implements Disposable {
	private readonly server = createServer((_request, response) => {
		response.writeHead(this.isReady() ? okStatus : unavailableStatus).end();
	});

	constructor(private readonly settings: RelaySettings, private readonly isReady: () => boolean) {}

	/** The port that the server listens on; only available after `listen`. */
	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	async listen(): Promise<void> {
		this.server.listen(this.settings.readyPort, this.settings.readyHost);
		await once(this.server, 'listening');
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
