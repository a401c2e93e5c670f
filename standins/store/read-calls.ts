/** Names of the calls that the store counts as reads; the others are writes. */
export const readCalls: readonly string[] = ['kv-key', 'kv-range', 'kv-watch', 'kv-keep'];
