import test from 'ava';
import {PatienceMemory} from '../patience-memory.js';

test('a caller with much less remaining time than others of its route has waited since an earlier attempt', t => {
	const memory = new PatienceMemory();
	t.false(memory.hasWaited('a', 6000));
	t.false(memory.hasWaited('a', 5990));
	t.true(memory.hasWaited('a', 5000));
	t.false(memory.hasWaited('b', 1000));
});

test('a shorter timeout of all callers is learned', t => {
	const memory = new PatienceMemory();
	memory.hasWaited('a', 6000);
	let waited = 0;
	while (memory.hasWaited('a', 4000)) {
		waited++;
	}

	t.true(waited < 1000);
});
