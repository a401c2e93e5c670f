/** Hop-by-hop headers (RFC 9110, section 7.6.1), and those that frame the body on a connection. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'content-length',
	'expect',
]);
