/** What a command has to say: a document for machines and text for people. */
export type Output = {
	readonly document: unknown;
	readonly text: string;
};
