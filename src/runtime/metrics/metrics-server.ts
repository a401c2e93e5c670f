import {once} from 'node:events';
import {createServer} from 'node:http';
import {type Disposable} from '../../base/disposable.js';
import {formatMetrics} from './format-metrics.js';
import {type MetricsService} from './metrics-service.js';

/** Serves the node's counters and histograms as text, on every path. */
export class MetricsServer implements Disposable {
	private readonly server = createServer((_request, response) => {
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(formatMetrics(this.metrics.snapshot()));
	});

	constructor(private readonly metrics: MetricsService) {}

	async listen(host: string, port: number): Promise<void> {
		this.server.listen(port, host);
		await once(this.server, 'listening');
	}

	dispose(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
