/** Kinds of datagrams between nodes, as in SWIM (Das, Gupta, Motivala 2002); encoded as one letter. */
export enum GossipMessageKind {
	/** Asks for an acknowledgment. */
	Ping = 'p',
	Ack = 'a',
	/** Asks another node to ping a target and to relay its acknowledgment. */
	PingRequest = 'r',
	/** Carries updates only. */
	Updates = 'u',
	/** Asks for the receiver's full record and carries the sender's. */
	Hello = 'h',
}
