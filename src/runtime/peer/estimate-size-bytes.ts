const scalarBytes = 8;

/** Rough estimate of the memory that a JSON value occupies. */
export function estimateSizeBytes(value: unknown): number {
	if (typeof value === 'string') {
		return value.length + scalarBytes;
	}

	if (value instanceof Uint8Array) {
		return value.length + scalarBytes;
	}

	if (typeof value !== 'object' || value === null) {
		return scalarBytes;
	}

	let sizeBytes = scalarBytes;
	for (const item of Object.values(value)) {
		sizeBytes += estimateSizeBytes(item);
	}

	return sizeBytes;
}
