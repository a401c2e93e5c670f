const maxListed = 8;

/** Returns a row with path and value for each leaf of a JSON document; long lists of plain values are truncated. */
export function flattenStatus(value: unknown, path = ''): string[][] {
	if (Array.isArray(value) && value.every(item => typeof item !== 'object')) {
		const suffix = value.length > maxListed ? ` … (${value.length})` : '';
		return [[path, value.slice(0, maxListed).join(' ') + suffix]];
	}

	if (typeof value === 'object' && value !== null) {
		return Object.entries(value).flatMap(([key, item]) => flattenStatus(item, path === '' ? key : `${path} ${key}`));
	}

	return [[path, String(value)]];
}
