export async function pause(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}
