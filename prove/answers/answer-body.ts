/** Body that the backend servers of a run answer a request with: its mark, again and again. */
export function answerBody(mark: string, parts: number): string {
	return `${mark};`.repeat(parts);
}
