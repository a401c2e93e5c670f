import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from './client.js';

const reconnectMs = 200;

/** A client that sends one request after the other over a kept connection until the signal is aborted; resolves with the ids that got no answer. */
export async function useKeptConnection({outbound}, {name, target, signal}) {
	const lost = [];
	let socket;
	for (let index = 0; !signal.aborted; index++) {
		const isFirst = !socket || socket.destroyed;
		if (isFirst) {
			socket = connect(outbound.port, outbound.host);
		}

		const id = `${name}-${index}`;
		const {status, closes} = await send(outbound, {target, id, socket});
		// The first request of a connection does not count as one from a kept connection.
		if (status === undefined && !isFirst) {
			lost.push(id);
		}

		if (closes || status === undefined) {
			socket.destroy();
			await sleep(reconnectMs);
		}
	}

	socket?.destroy();
	return lost;
}
