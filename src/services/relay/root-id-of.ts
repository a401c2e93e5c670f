/** Id of the root of a request: what stands before the first dot. */
export function rootIdOf(requestId: string): string {
	const end = requestId.indexOf('.');
	return end === -1 ? requestId : requestId.slice(0, end);
}
