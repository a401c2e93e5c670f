import {Buffer} from 'node:buffer';
import {v7 as uuidv7} from 'uuid';
import {type CallerRequest} from './attempt-sender.js';
import {type SeededChoices} from './seeded-choices.js';

/** Creates a non-idempotent request with a new id. */
export function mintCharge(choices: SeededChoices, index: number): CallerRequest {
	return {
		requestId: uuidv7({random: choices.uuidBytes()}),
		traceId: Buffer.from(choices.uuidBytes()).toString('hex'),
		path: choices.pick(['/extensions', '/deliveries', '/job-sheets']),
		body: JSON.stringify({charge: index}),
	};
}
