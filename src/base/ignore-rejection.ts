/** Waits for a promise whose failure is told of elsewhere. */
export async function ignoreRejection(promise: Promise<unknown>): Promise<void> {
	try {
		await promise;
	} catch {}
}
