/** What a step of a policy schedule does. */
export enum PolicyStepKind {
	/** One operator patches the version that its node has in force. */
	Patch = 'patch',
	/** Two operators patch one version at two nodes at the same moment. */
	Race = 'race',
	/** An operator submits an earlier patch again, at any node. */
	Repeat = 'repeat',
	/** A node is killed and starts again with nothing kept. */
	Restart = 'restart',
	/** The store's watches go silent for good. */
	SilentWatches = 'silent-watches',
	/** All open connections to the store go silent for good. */
	SilentStore = 'silent-store',
	/** Some of the store's answers to writes are lost. */
	LostAnswers = 'lost-answers',
	/** The store answers late. */
	SlowStore = 'slow-store',
	/** The store is away for one availability zone. */
	ZoneOutage = 'zone-outage',
	/** The store is away for all. */
	Outage = 'outage',
	/** The availability zones can't reach each other. */
	Partition = 'partition',
	/** Outages and partitions end. */
	Heal = 'heal',
}
