import test from 'ava';
import {ErrorKind} from '../../../base/error-kind.js';
import {type KumquatlineError} from '../../../base/kumquatline-error.js';
import {BodyBudget} from '../body-budget.js';

test('a body that is buffered alone may exceed the budget', t => {
	const share = new BodyBudget(100).open();
	t.notThrows(() => {
		share.take(80);
		share.take(500);
	});
});

test('a further body is refused as not started while the budget is used up, and accepted afterwards', t => {
	const budget = new BodyBudget(100);
	const first = budget.open();
	const second = budget.open();
	first.take(70);
	second.take(20);
	const error = t.throws<KumquatlineError>(() => {
		second.take(20);
	});
	t.is(error?.kind, ErrorKind.Overloaded);
	t.false(error?.started);
	first.dispose();
	first.dispose();
	t.notThrows(() => {
		second.take(20);
	});
	second.dispose();
	const third = budget.open();
	third.take(100);
	t.throws(() => {
		budget.open().take(1);
	});
});
