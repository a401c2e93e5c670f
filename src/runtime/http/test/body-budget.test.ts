import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {BodyBudget} from '../body-budget.js';

test('a body that is buffered alone may exceed the budget', t => {
	const reservation = new BodyBudget(100).createReservation();
	t.notThrows(() => {
		reservation.reserve(80);
		reservation.reserve(500);
	});
});

test('a further body is refused as not started while the budget is used up, and accepted afterwards', t => {
	const budget = new BodyBudget(100);
	const first = budget.createReservation();
	const second = budget.createReservation();
	first.reserve(70);
	second.reserve(20);
	const error = t.throws<KumquatlineError>(() => {
		second.reserve(20);
	});
	t.is(error?.kind, ErrorKind.Overloaded);
	t.false(error?.started);
	first.dispose();
	first.dispose();
	t.notThrows(() => {
		second.reserve(20);
	});
	second.dispose();
	const third = budget.createReservation();
	third.reserve(100);
	t.throws(() => {
		budget.createReservation().reserve(1);
	});
});
