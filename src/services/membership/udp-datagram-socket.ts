import {createSocket, type Socket} from 'node:dgram';
import {once} from 'node:events';
import {isIPv6} from 'node:net';
import {Emitter} from '../../base/emitter.js';
import {type Datagram, type DatagramSocket} from './datagram-socket.js';
import {type GossipAddress} from './gossip-address.js';

/** Sends and receives datagrams over UDP. */
export class UdpDatagramSocket implements DatagramSocket {
	/** Binds a port; 0 lets the operating system choose one. */
	static async open(address: string, port: number): Promise<UdpDatagramSocket> {
		const socket = createSocket(isIPv6(address) ? 'udp6' : 'udp4');
		socket.bind(port, address);
		await once(socket, 'listening');
		return new UdpDatagramSocket(socket);
	}

	readonly onDidReceive;
	readonly port: number;
	private readonly receiveEmitter = new Emitter<Datagram>();
	private closed = false;

	private constructor(private readonly socket: Socket) {
		this.onDidReceive = this.receiveEmitter.event;
		this.port = socket.address().port;
		// A datagram that cannot be delivered is treated like a lost one.
		socket.on('error', () => undefined);
		socket.on('message', (bytes, sender) => {
			this.receiveEmitter.fire({bytes, from: {address: sender.address, gossipPort: sender.port}});
		});
	}

	send(bytes: string, to: GossipAddress): void {
		if (!this.closed && to.gossipPort > 0) {
			this.socket.send(bytes, to.gossipPort, to.address, () => undefined);
		}
	}

	dispose(): void {
		if (!this.closed) {
			this.closed = true;
			this.socket.close();
			this.receiveEmitter.dispose();
		}
	}
}
