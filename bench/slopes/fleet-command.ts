/** Command that the benchmark sends to a worker process. */
export type FleetCommand =
	| {readonly kind: 'sample'}
	| {readonly kind: 'known'}
	| {readonly kind: 'seen'; readonly subject: string}
	| {readonly kind: 'init'; readonly policy: Readonly<Record<string, unknown>>}
	| {readonly kind: 'patch'; readonly baseVersion: number}
	| {readonly kind: 'drain'; readonly nodeId: string}
	| {readonly kind: 'kill'; readonly nodeId: string};
