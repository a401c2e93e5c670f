/** Finds the first value of a header in a list of alternating names and values; `name` must be in lower case. */
export function findHeader(headers: readonly string[], name: string): string | undefined {
	for (let index = 0; index < headers.length; index += 2) {
		if (headers[index].length === name.length && headers[index].toLowerCase() === name) {
			return headers[index + 1];
		}
	}

	return undefined;
}
