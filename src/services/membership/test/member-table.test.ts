import test from 'ava';
import fc from 'fast-check';
import {type Member} from '../member.js';
import {MemberState} from '../member-state.js';
import {MemberTable} from '../member-table.js';

const seed = 20_262;

/** Naive variant that ignores incarnations and revisions: the last update to arrive wins. */
class LastUpdateWinsTable extends MemberTable {
	override merge(update: Member): boolean {
		this.put(update);
		return true;
	}
}

const updates = fc.array(fc.record({
	incarnation: fc.constantFrom('run-1', 'run-2'),
	revision: fc.integer({min: 1, max: 3}),
	state: fc.constantFrom(MemberState.Serving, MemberState.Suspect, MemberState.Dead, MemberState.Left),
}), {minLength: 2, maxLength: 8});

/** Whether a table reaches the same record, of the newest incarnation, if the updates arrive in forward or in reverse order. */
function converges(Table: typeof MemberTable, records: Array<Pick<Member, 'incarnation' | 'revision' | 'state'>>): boolean {
	const members = records.map(record => ({
		nodeId: 'a', address: '127.0.0.1', peerPort: 1, gossipPort: 1, callerPort: 1, availabilityZone: 'z', region: 'r',
		service: 's', slots: 1, connections: 1, policyVersion: 1, ...record,
	}));
	const [forwards, backwards] = [new Table(), new Table()];
	for (const [index, member] of members.entries()) {
		forwards.merge(member);
		backwards.merge(members[members.length - 1 - index]);
	}

	const newest = members.map(member => member.incarnation).sort().at(-1);
	const [left, right] = [forwards.get('a')!, backwards.get('a')!];
	return left.incarnation === newest && left.incarnation === right.incarnation && left.revision === right.revision && left.state === right.state;
}

test('members converge to the newest incarnation regardless of the order of updates', t => {
	t.notThrows(() => {
		fc.assert(fc.property(updates, records => converges(MemberTable, records)), {seed});
	});
});

test('the convergence check fails if the last update to arrive wins', t => {
	t.true(fc.check(fc.property(updates, records => converges(LastUpdateWinsTable, records)), {seed}).failed);
});
