/** A part of a node that says how loaded it is. */
export interface LoadSource {
	/** Fields of the log line of the interval that ends now; undefined when the part had nothing to do in it. */
	reportLoad(): Readonly<Record<string, unknown>> | undefined;
}
