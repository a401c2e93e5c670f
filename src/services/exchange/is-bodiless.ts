const firstFinalStatus = 200;
const noContentStatus = 204;
const notModifiedStatus = 304;

/** Whether an answer of this status ends with its head, whatever its headers say. */
export function isBodiless(status: number): boolean {
	return status < firstFinalStatus || status === noContentStatus || status === notModifiedStatus;
}
