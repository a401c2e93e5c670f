/** A component of a node that reports its load. */
export interface LoadSource {
	/** Log fields for the interval that ends now; undefined if the component was idle in it. */
	reportLoad(): Readonly<Record<string, unknown>> | undefined;
}
