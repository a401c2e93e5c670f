import {connect} from 'node:net';

/** Sends one request over a connection of its own or a given one; resolves with the answer, or without a status if the connection ended before it was complete. */
export async function send({host, port}, {method = 'GET', hostName = 'a.example', target = '/', id, deadlineMs = 5000, body, headers = {}, socket}) {
	const own = socket ?? connect(port, host);
	own.setNoDelay(true);
	const lines = Object.entries({
		Host: hostName, 'X-Request-Id': id, 'X-Deadline-Ms': deadlineMs, ...(body !== undefined && {'Content-Length': body.length}), ...headers,
	}).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	const sentAtMs = performance.now();
	own.write(`${method} ${target} HTTP/1.1\r\n${lines}\r\n`);
	if (body !== undefined && body.length > 0) {
		own.write(body);
	}

	return new Promise(resolve => {
		let received = '';
		const finish = outcome => {
			own.off('data', onData);
			own.off('close', onClose);
			if (!socket) {
				own.destroy();
			}

			resolve({id, elapsedMs: Math.round(performance.now() - sentAtMs), ...outcome});
		};

		const onData = bytes => {
			received += bytes.toString('latin1');
			const end = received.indexOf('\r\n\r\n');
			if (end === -1) {
				return;
			}

			const head = received.slice(0, end);
			const length = Number(/^content-length: *(\d+)/imv.exec(head)?.[1] ?? 0);
			if (received.length >= end + 4 + length) {
				finish({
					status: Number(head.slice(9, 12)), isSealed: /^x-server-seal:/imv.test(head), closes: /^connection: *close/imv.test(head), body: received.slice(end + 4, end + 4 + length),
				});
			}
		};

		const onClose = () => {
			finish({status: undefined});
		};

		own.on('data', onData);
		own.once('close', onClose);
		if (own.listenerCount('error') === 0) {
			own.on('error', () => undefined);
		}
	});
}
