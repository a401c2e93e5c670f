/** Output of a command: a document for `--json`, and text. */
export type Output = {
	readonly document: unknown;
	readonly text: string;
};
