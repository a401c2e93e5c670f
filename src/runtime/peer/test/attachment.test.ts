import {Buffer} from 'node:buffer';
import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {attach, detach} from '../attachment.js';

/** What the other end makes of a message after its JSON text and its bytes have travelled. */
function carried(message: Record<string, unknown>): unknown {
	const {message: text, attachment = new Uint8Array()} = detach(message);
	const json = JSON.stringify(text);
	const received = JSON.parse(json) as Record<string, unknown>;
	// The bytes arrive as a part of the frame's buffer.
	attach(received, Buffer.from(attachment));
	delete received.places;
	return received;
}

const bytesOf = (text: string) => Buffer.from(text);

test('a message without bytes travels as it is', t => {
	const message = {id: 'call/1', params: {headers: ['a', 'b'], nothing: null}};
	t.is(detach(message).message, message);
	t.is(detach(message).attachment, undefined);
});

test('bytes come back in their places, at any depth, empty ones as well', t => {
	const message = {
		result: {
			answer: {status: 200, body: bytesOf('answer')},
			entries: [{body: bytesOf('first')}, {state: 'refused'}, {body: bytesOf('')}],
		},
	};
	t.deepEqual(carried(message), message);
});

test('the message that is sent stays as it was', t => {
	const message = {params: {request: {body: bytesOf('order')}}};
	detach(message);
	t.deepEqual(message.params.request.body, bytesOf('order'));
});

for (const [name, places] of Object.entries({
	'no list': 'x',
	'no path': [{lengthBytes: 1}],
	'an empty path': [{path: [], lengthBytes: 1}],
	'a negative length': [{path: ['params'], lengthBytes: -1}],
	'more bytes than came': [{path: ['params'], lengthBytes: 4}],
	'a place that is not there': [{path: ['params', 'missing', 'body'], lengthBytes: 1}],
	'a place in the prototype': [{path: ['__proto__', 'polluted'], lengthBytes: 1}],
})) {
	test(`places of attached bytes that make no sense are refused: ${name}`, t => {
		const error = t.throws<KumquatlineError>(() => {
			attach({params: {}, places}, bytesOf('abc'));
		});
		t.is(error?.kind, ErrorKind.PeerProtocol);
		t.false('polluted' in {});
	});
}
