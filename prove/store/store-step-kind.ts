/** Kinds of steps in a store schedule. */
export enum StoreStepKind {
	Read = 'read',
	Swap = 'swap',
	Renewal = 'renewal',
	/** Another client writes the key. */
	OtherWrite = 'other-write',
	Silent = 'silent',
	SilentWatches = 'silent-watches',
	LostAnswers = 'lost-answers',
	Slow = 'slow',
	Outage = 'outage',
	Heal = 'heal',
}
