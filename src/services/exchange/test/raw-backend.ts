import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Kernel} from '../../../runtime/kernel/kernel.js';
import {HeaderNames} from '../../../runtime/http/header-names.js';
import {LogService} from '../../../runtime/log/log-service.js';
import {MetricsService} from '../../../runtime/metrics/metrics-service.js';
import {StatsdMetricsService} from '../../../runtime/metrics/statsd-metrics-service.js';
import {silentLog, testSettings} from '../../../runtime/peer/test/peer-fixture.js';
import {FixedSettingsService} from '../../../runtime/settings/fixed-settings-service.js';
import {RelaySettingsService} from '../../../runtime/settings/relay-settings-service.js';
import {SettingsService} from '../../../runtime/settings/settings-service.js';
import {ExchangeService} from '../exchange-service.js';
import {PooledExchangeService} from '../pooled-exchange-service.js';

type Teardown = {
	teardown(release: () => void): void;
};

/** Handles each request to the backend server; requests are numbered across all connections. */
export type RawRequestHandler = (socket: Socket, requestNumber: number) => void | Promise<void>;

export const testHeaderNames: HeaderNames = {
	requestId: 'id', deadlineMs: 'deadline', signature: 'signature', expectedInstance: 'instance', notRun: 'not-run', requestLimit: 'request-limit', leaving: 'leaving', caller: 'caller',
};

/** Signed answer with a body to the request of this id. */
export function answerTo(id: string, body = 'whole', status = '200 OK'): string {
	return `HTTP/1.1 ${status}\r\nid: ${id}\r\nsignature: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

/** Starts a backend server that writes raw bytes, and an exchange service connected to it. */
export async function openRawBackend(t: Teardown, handleRequest: RawRequestHandler) {
	let connections = 0;
	let requests = 0;
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		connections++;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', bytes => {
			// A request head may arrive in one chunk with the rest of the preceding body.
			if (/[A-Z]+ \/ HTTP\/1\.1\r\n/v.test(bytes.toString('latin1'))) {
				requests++;
				void handleRequest(socket, requests);
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const kernel = new Kernel()
		.registerInstance(SettingsService, new FixedSettingsService(testSettings('node')))
		.registerInstance(RelaySettingsService, {relay: {backendHost: '127.0.0.1', backendPort: port}} as unknown as RelaySettingsService)
		.registerInstance(HeaderNames, testHeaderNames)
		.register(MetricsService, StatsdMetricsService)
		.registerInstance(LogService, silentLog)
		.register(ExchangeService, PooledExchangeService);
	t.teardown(() => {
		kernel.dispose();
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	const exchanges = kernel.get(ExchangeService);
	return {
		async exchange(requestId: string, signal = new AbortController().signal, body = '') {
			const answer = await exchanges.exchange({
				requestId, method: body === '' ? 'GET' : 'POST', target: '/', headers: ['host', 'h', 'id', requestId], body: new TextEncoder().encode(body),
			}, signal);
			return {...answer, body: new TextDecoder().decode(answer.body)};
		},
		counts: () => ({connections, requests}),
		/** Waits until bytes in transit have arrived. */
		settle: async () => sleep(20),
	};
}
