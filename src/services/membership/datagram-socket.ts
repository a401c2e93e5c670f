import {type Disposable} from '../../base/disposable.js';
import {type Event} from '../../base/event.js';
import {type GossipAddress} from './gossip-address.js';

export type Datagram = {
	readonly bytes: Uint8Array;
	readonly from: GossipAddress;
};

/** Sends and receives datagrams. Sending never fails, and delivery is not guaranteed. */
export interface DatagramSocket extends Disposable {
	readonly port: number;
	readonly onDidReceive: Event<Datagram>;
	send(bytes: string, to: GossipAddress): void;
}
