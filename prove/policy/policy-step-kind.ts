/** Kinds of steps in a policy schedule. */
export enum PolicyStepKind {
	/** One operator patches the version that its node has in force. */
	Patch = 'patch',
	/** Two operators patch the same version at two nodes at the same time. */
	Race = 'race',
	/** An operator submits an earlier patch again, at any node. */
	Repeat = 'repeat',
	/** A node is killed and restarted without any kept state. */
	Restart = 'restart',
	/** The store's watches become silent permanently. */
	SilentWatches = 'silent-watches',
	/** All open connections to the store become silent permanently. */
	SilentStore = 'silent-store',
	/** Some of the store's answers to writes are lost. */
	LostAnswers = 'lost-answers',
	/** The store answers late. */
	SlowStore = 'slow-store',
	/** The store is unreachable for one availability zone. */
	ZoneOutage = 'zone-outage',
	/** The store is unreachable for both availability zones. */
	Outage = 'outage',
	/** The availability zones can't reach each other. */
	Partition = 'partition',
	/** Outages and partitions end. */
	Heal = 'heal',
}
