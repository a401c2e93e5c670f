import test from 'ava';
import {v7, validate, version} from 'uuid';
import {deriveRequestId} from '../derive-request-id.js';
import {mintedAtMs} from '../minted-at-ms.js';

const parent = v7({msecs: 1_800_000_000_000});

test('an inner call of a request with a time-ordered id gets a time-ordered id with the same timestamp, the same each time', t => {
	const derived = deriveRequestId(parent, 'POST', '/charges', 'digest', 0);
	t.true(validate(derived));
	t.is(version(derived), 7);
	t.is(mintedAtMs(derived), 1_800_000_000_000);
	t.is(deriveRequestId(parent, 'POST', '/charges', 'digest', 0), derived);
});

test('inner calls that differ in any input get different ids', t => {
	const ids = new Set([
		deriveRequestId(parent, 'POST', '/charges', 'digest', 0),
		deriveRequestId(parent, 'PUT', '/charges', 'digest', 0),
		deriveRequestId(parent, 'POST', '/charge', 'sdigest', 0),
		deriveRequestId(parent, 'POST', '/charges', 'other', 0),
		deriveRequestId(parent, 'POST', '/charges', 'digest', 1),
		deriveRequestId('order-1', 'POST', '/charges', 'digest', 0),
	]);
	t.is(ids.size, 6);
});

test('an inner call of a request whose id has no timestamp gets an id without a timestamp', t => {
	const derived = deriveRequestId('order-1', 'POST', '/charges', 'digest', 0);
	t.is(version(derived), 8);
	t.is(mintedAtMs(derived), undefined);
});

test('an inner call of a request with a reserved id gets an id of the same owner, at any depth', t => {
	const reserved = `${parent}.run-1.${'a'.repeat(22)}`;
	const child = deriveRequestId(reserved, 'POST', '/charges', 'digest', 0);
	const grandchild = deriveRequestId(child, 'POST', '/charges', 'digest', 0);
	t.true(child.startsWith(`${reserved}~`));
	t.true(grandchild.startsWith(`${reserved}~`));
	t.is(grandchild.length, child.length);
	t.not(grandchild, child);
	t.is(mintedAtMs(grandchild), 1_800_000_000_000);
});
