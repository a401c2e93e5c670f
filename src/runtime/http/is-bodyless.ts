const firstFinalStatus = 200;
const noContentStatus = 204;
const notModifiedStatus = 304;

/** Whether an answer of this status has no body, regardless of its headers. */
export function isBodyless(status: number): boolean {
	return status < firstFinalStatus || status === noContentStatus || status === notModifiedStatus;
}
