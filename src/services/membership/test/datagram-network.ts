import {Buffer} from 'node:buffer';
import {Emitter} from '../../../base/emitter.js';
import {type Datagram, type DatagramSocket} from '../datagram-socket.js';
import {type GossipAddress} from '../gossip-address.js';

const latencyMs = 1;

type Socket = DatagramSocket & {readonly emitter: Emitter<Datagram>};

/** Simulated network with a latency of 1 ms; datagrams between chosen ports can be lost. */
export class DatagramNetwork {
	private readonly sockets = new Map<number, Socket>();
	private lastPort = 0;

	/** Whether a datagram between two ports is lost. */
	isLost: (fromPort: number, toPort: number) => boolean = () => false;

	open(address: string): DatagramSocket {
		this.lastPort++;
		const port = this.lastPort;
		const emitter = new Emitter<Datagram>();
		const socket: Socket = {
			emitter,
			port,
			onDidReceive: emitter.event,
			send: (bytes, to) => {
				this.deliver(bytes, {address, gossipPort: port}, to);
			},
			dispose: () => {
				this.sockets.delete(port);
			},
		};
		this.sockets.set(port, socket);
		return socket;
	}

	/** Delivers a datagram as if it had been sent from the given address. */
	deliver(text: string, from: GossipAddress, to: GossipAddress): void {
		const bytes = Buffer.from(text);
		if (!this.isLost(from.gossipPort, to.gossipPort)) {
			setTimeout(() => {
				this.sockets.get(to.gossipPort)?.emitter.fire({bytes, from});
			}, latencyMs);
		}
	}
}
