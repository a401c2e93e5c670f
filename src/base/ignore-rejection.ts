/** Waits for a promise whose rejection is reported elsewhere. */
export async function ignoreRejection(promise: Promise<unknown>): Promise<void> {
	try {
		await promise;
	} catch {}
}
