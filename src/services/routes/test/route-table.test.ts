import test from 'ava';
import {type Route} from '../route.js';
import {RouteTable} from '../route-table.js';

function route(name: string, host: string, prefix: string): Route {
	return {
		name, host, prefix, idempotent: true, timeoutMs: 1000, objectiveMs: 500, priority: 0, maxUpstreams: 1, targets: [{service: 's', weight: 1}],
	};
}

const table = new RouteTable(1, [route('root', 'a.example', '/'), route('short', 'a.example', '/x/'), route('long', 'a.example', '/x/y/'), route('other', 'b.example', '/x/')]);

const cases: ReadonlyArray<readonly [host: string, target: string, name: string | undefined]> = [
	['a.example', '/x/y/z', 'long'],
	['a.example', '/x/y/', 'long'],
	['a.example', '/x/y', 'short'],
	['a.example', '/x/yy/z', 'short'],
	['a.example', '/x', 'root'],
	['a.example', '/q?p=/x/y/', 'root'],
	['A.Example:8080', '/x/1', 'short'],
	['b.example', '/x/y/z', 'other'],
	['b.example', '/', undefined],
	['c.example', '/x/', undefined],
	['a.example', '*', undefined],
	['', '', undefined],
];

for (const [host, target, name] of cases) {
	test(`the longest matching prefix takes precedence: ${host} ${target}`, t => {
		t.is(table.match(host, target)?.name, name);
	});
}
