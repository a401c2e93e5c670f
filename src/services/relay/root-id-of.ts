/** Id of the root request: the part of the id before the first dot. */
export function rootIdOf(requestId: string): string {
	const end = requestId.indexOf('.');
	return end === -1 ? requestId : requestId.slice(0, end);
}
