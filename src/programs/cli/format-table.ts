/** Formats a table with headings, its columns padded to their widest cell. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = headings.map((heading, column) => Math.max(heading.length, ...rows.map(row => row[column].length)));
	return [headings, ...rows]
		.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd())
		.join('\n');
}
