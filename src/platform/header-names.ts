import {type HeaderNames} from '../runtime/http/header-names.js';

/** Header names of the platform. */
export const platformHeaderNames: HeaderNames = {
	requestId: 'x-request-id',
	deadlineMs: 'x-deadline-ms',
	signature: 'x-server-seal',
	expectedInstance: 'x-expect-instance',
	notRun: 'x-not-run',
	requestLimit: 'server-limit',
	leaving: 'server-leaving',
	caller: 'x-caller',
};
