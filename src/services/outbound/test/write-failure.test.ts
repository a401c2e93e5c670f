import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {statusOf} from '../write-failure.js';

const callerErrorKinds: ReadonlySet<ErrorKind> = new Set([ErrorKind.BadRequest, ErrorKind.RouteUnknown, ErrorKind.BodyTooLarge, ErrorKind.RequestTimeout]);

for (const kind of Object.values(ErrorKind)) {
	test(`${kind}: the status means "not executed" only if that is certain, and does not blame the caller for failures while the request is relayed`, t => {
		const uncertain = statusOf(new KumquatlineError(kind, 'failure'));
		const certain = statusOf(new KumquatlineError(kind, 'failure', {started: false}));
		if (callerErrorKinds.has(kind)) {
			t.is(uncertain, certain);
			return;
		}

		t.true([500, 502, 504].includes(uncertain));
		t.is(certain, 503);
	});
}
