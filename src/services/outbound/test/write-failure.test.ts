import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {KumquatlineError} from '../../../base/kumquatline-error.js';
import {statusOf} from '../write-failure.js';

const ownDoing: ReadonlySet<ErrorKind> = new Set([ErrorKind.BadRequest, ErrorKind.RouteUnknown, ErrorKind.BodyTooLarge, ErrorKind.RequestTimeout]);

for (const kind of Object.values(ErrorKind)) {
	test(`${kind}: a status that promises "not run" only where that is certain, and none that blames the caller for what happened on the way`, t => {
		const uncertain = statusOf(new KumquatlineError(kind, 'failure'));
		const certain = statusOf(new KumquatlineError(kind, 'failure', {started: false}));
		if (ownDoing.has(kind)) {
			t.is(uncertain, certain);
			return;
		}

		t.true([500, 502, 504].includes(uncertain));
		t.is(certain, 503);
	});
}
