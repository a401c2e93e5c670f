import test from 'ava';
import {decodeReport} from '../control/decode-report.js';

const report = {
	address: '10.0.0.9:8080', born: 1_700_000_000_000, info: {
		service: 's1', version: 'v1', zone: 'z', slots: 131,
	}, status: {state: 'draining', seq: 4, coldLeftS: 1.5},
};

test('a report is decoded with its boot time, its sequence number and its times in milliseconds', t => {
	t.snapshot(decodeReport('i-1', JSON.stringify(report)));
});

const malformed: readonly unknown[] = [
	'text', {}, {...report, address: 7}, {...report, born: 'x'}, {...report, info: {...report.info, slots: '131'}}, {...report, status: {...report.status, state: 'odd'}}, {...report, status: undefined},
];

for (const [index, body] of malformed.entries()) {
	test(`a malformed report is rejected (${index})`, t => {
		t.is(decodeReport('i-1', typeof body === 'string' ? body : JSON.stringify(body)), undefined);
	});
}
