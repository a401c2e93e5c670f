/** Identifies a shard in the tables of a node. */
export function shardKey(service: string, index: number): string {
	return `${service}/${index}`;
}
