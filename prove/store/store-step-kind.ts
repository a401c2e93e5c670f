/** What a step of a store schedule does. */
export enum StoreStepKind {
	Read = 'read',
	Swap = 'swap',
	Renewal = 'renewal',
	/** Someone else writes the key. */
	OtherWrite = 'other-write',
	Silent = 'silent',
	SilentWatches = 'silent-watches',
	LostAnswers = 'lost-answers',
	Slow = 'slow',
	Outage = 'outage',
	Heal = 'heal',
}
