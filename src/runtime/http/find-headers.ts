/** Finds all values of a header in a list of alternating names and values; `name` must be in lower case. */
export function findHeaders(headers: readonly string[], name: string): string[] {
	return headers.filter((_value, index) => index % 2 === 1 && headers[index - 1].toLowerCase() === name);
}
