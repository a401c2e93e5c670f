/** Headers that concern one connection only (RFC 9110, 7.6.1), or that frame a body on it. */
export const hopHeaders: ReadonlySet<string> = new Set([
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
