/** What a relay can do to its open connections. */
export enum RelayFault {
	/** Bytes arrive late, in order. */
	Delay = 'delay',
	/** Connections break after some more bytes. */
	Cut = 'cut',
	/** Connections stay open and swallow all bytes from now on. */
	Swallow = 'swallow',
	/** Answers of two connections go to each other's clients from now on. */
	Swap = 'swap',
	/** The next bytes of each answer arrive twice. */
	Duplicate = 'duplicate',
}
