import {Buffer} from 'node:buffer';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {attach, detach} from '../attachment.js';

/** The message as the other end decodes it from its JSON text and attached bytes. */
function roundTrip(message: Record<string, unknown>): unknown {
	const {message: text, attachment = new Uint8Array()} = detach(message);
	const json = JSON.stringify(text);
	const received = JSON.parse(json) as Record<string, unknown>;
	// The attached bytes arrive as a slice of the frame's buffer.
	attach(received, Buffer.from(attachment));
	delete received.places;
	return received;
}

const bytesOf = (text: string) => Buffer.from(text);

test('a message without byte arrays is sent unchanged', t => {
	const message = {id: 'call/1', params: {headers: ['a', 'b'], nothing: null}};
	t.is(detach(message).message, message);
	t.is(detach(message).attachment, undefined);
});

test('byte arrays are restored at their paths, at any depth, including empty ones', t => {
	const message = {
		result: {
			answer: {status: 200, body: bytesOf('answer')},
			entries: [{body: bytesOf('first')}, {state: 'refused'}, {body: bytesOf('')}],
		},
	};
	t.deepEqual(roundTrip(message), message);
});

test('detaching does not change the original message', t => {
	const message = {params: {request: {body: bytesOf('order')}}};
	detach(message);
	t.deepEqual(message.params.request.body, bytesOf('order'));
});

for (const [name, places] of Object.entries({
	'no list': 'x',
	'no path': [{lengthBytes: 1}],
	'an empty path': [{path: [], lengthBytes: 1}],
	'a negative length': [{path: ['params'], lengthBytes: -1}],
	'more bytes than attached': [{path: ['params'], lengthBytes: 4}],
	'a path that is not in the message': [{path: ['params', 'missing', 'body'], lengthBytes: 1}],
	'a path into the prototype': [{path: ['__proto__', 'polluted'], lengthBytes: 1}],
})) {
	test(`malformed places of attached bytes are rejected: ${name}`, t => {
		const error = t.throws<KumquatlineError>(() => {
			attach({params: {}, places}, bytesOf('abc'));
		});
		t.is(error?.kind, ErrorKind.PeerProtocol);
		t.false('polluted' in {});
	});
}
