/** Creates the body with which the backend servers of a run answer a request: its mark, repeated. */
export function answerBody(mark: string, parts: number): string {
	return `${mark};`.repeat(parts);
}
