import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {RelayFault} from './relay-fault.js';
import {RelayedConnection} from './relayed-connection.js';

/** Relays TCP to a loopback port and injects faults into the open connections on demand; new ones work. */
export class TcpRelay {
	private readonly connections = new Set<RelayedConnection>();
	private readonly server = createServer(socket => {
		const connection: RelayedConnection = new RelayedConnection(socket, this.targetPort, () => {
			this.connections.delete(connection);
		});
		this.connections.add(connection);
	});

	constructor(private readonly targetPort: number) {}

	get port(): number {
		return (this.server.address() as AddressInfo).port;
	}

	get connectionCount(): number {
		return this.connections.size;
	}

	async listen(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
	}

	/** Injects a fault into every open connection; `amount` is the delay in milliseconds or the number of bytes before a cut. */
	inject(fault: RelayFault, amount: number): void {
		const connections = [...this.connections];
		if (fault === RelayFault.Swap) {
			swap(connections);
			return;
		}

		for (const connection of connections) {
			applyFault(connection, fault, amount);
		}
	}

	dispose(): void {
		this.server.close();
		for (const connection of this.connections) {
			connection.dispose();
		}
	}
}

function applyFault(connection: RelayedConnection, fault: RelayFault, amount: number): void {
	connection.delayMs = fault === RelayFault.Delay ? amount : connection.delayMs;
	connection.swallows ||= fault === RelayFault.Swallow;
	connection.duplicatesNext ||= fault === RelayFault.Duplicate;
	connection.cutAfterBytes = fault === RelayFault.Cut ? amount : connection.cutAfterBytes;
}

function swap(connections: readonly RelayedConnection[]): void {
	for (let index = 0; index + 1 < connections.length; index += 2) {
		const [left, right] = connections.slice(index, index + 2);
		[left.answerTarget, right.answerTarget] = [right.answerTarget, left.answerTarget];
	}
}
