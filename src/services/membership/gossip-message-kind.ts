/** Kinds of datagrams between nodes, after SWIM (Das, Gupta, Motivala 2002); one letter each on the wire. */
export enum GossipMessageKind {
	/** Asks for an acknowledgment. */
	Ping = 'p',
	Ack = 'a',
	/** Asks a third node to ping a target and to pass its acknowledgment on. */
	PingRequest = 'r',
	/** Carries updates only. */
	Updates = 'u',
	/** Asks for the receiver's whole record and brings the sender's. */
	Hello = 'h',
}
