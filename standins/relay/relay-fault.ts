/** Faults that a relay can inject into its open connections. */
export enum RelayFault {
	/** Bytes arrive late, in order. */
	Delay = 'delay',
	/** Connections break after a number of further bytes. */
	Cut = 'cut',
	/** Connections stay open and drop all further bytes. */
	Swallow = 'swallow',
	/** From now on, the answers of two connections go to each other's clients. */
	Swap = 'swap',
	/** The next bytes of each answer arrive twice. */
	Duplicate = 'duplicate',
}
