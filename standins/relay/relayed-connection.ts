import {connect, type Socket} from 'node:net';

/** A client's connection through a relay, with the faults that are injected into it. */
export class RelayedConnection {
	readonly server: Socket;
	delayMs = 0;
	swallows = false;
	duplicatesNext = false;
	/** Number of bytes that are forwarded to the client before the connection is cut; undefined for no limit. */
	cutAfterBytes: number | undefined;
	/** Connection whose client receives the server's bytes. */
	answerTarget: RelayedConnection = this;

	constructor(readonly client: Socket, targetPort: number, onClose: () => void) {
		this.server = connect({host: '127.0.0.1', port: targetPort});
		this.client.setNoDelay(true);
		this.server.setNoDelay(true);
		this.client.on('data', chunk => {
			this.forward(chunk, this.server);
		});
		this.server.on('data', chunk => {
			this.answer(chunk);
		});
		for (const socket of [this.client, this.server]) {
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.dispose();
				onClose();
			});
		}
	}

	dispose(): void {
		this.client.destroy();
		this.server.destroy();
	}

	private answer(chunk: Uint8Array): void {
		const {cutAfterBytes} = this;
		if (cutAfterBytes !== undefined && chunk.length >= cutAfterBytes) {
			this.forward(chunk.subarray(0, cutAfterBytes), this.answerTarget.client);
			this.client.destroySoon();
			return;
		}

		this.cutAfterBytes = cutAfterBytes === undefined ? undefined : cutAfterBytes - chunk.length;
		this.forward(chunk, this.answerTarget.client);
		if (this.duplicatesNext) {
			this.duplicatesNext = false;
			this.forward(chunk, this.answerTarget.client);
		}
	}

	private forward(chunk: Uint8Array, destination: Socket): void {
		if (this.swallows) {
			return;
		}

		if (this.delayMs === 0) {
			destination.write(chunk);
			return;
		}

		setTimeout(() => {
			destination.write(chunk);
		}, this.delayMs);
	}
}
