import test from 'ava';
import {decodeManifest} from '../manifest/decode-manifest.js';

const manifest = {
	version: 'r7',
	routes: [
		{
			name: 'r-1', host: 'a.example', prefix: '/x/', kind: 'idempotent', timeoutS: 0.8, goalS: 1.5, priority: 2, attempts: 2, split: [{service: 's1', weight: 90}, {service: 's2', weight: 10}],
		},
		{
			name: 'r-2', host: 'b.example', prefix: '/y/', kind: 'mutating', timeoutS: 1, goalS: 1.5, priority: 0, service: 's3', attempts: 2,
		},
	],
	services: [{
		name: 's1', healthPath: '/health', maxConns: 886, protocol: 'h1', tls: false,
	}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutS: 3, idleTimeoutS: 15,
	},
	baseVersion: 'r5',
};

test('a configuration is converted to a policy with times in milliseconds', t => {
	t.snapshot(decodeManifest(JSON.stringify(manifest)));
});

const malformed: ReadonlyArray<readonly [name: string, text: string]> = [
	['invalid JSON', '{'],
	['a version of another type', JSON.stringify({...manifest, version: 7})],
	['an unknown kind', JSON.stringify({...manifest, routes: [{...manifest.routes[1], kind: 'other'}]})],
	['a route without a service', JSON.stringify({...manifest, routes: [{...manifest.routes[1], service: undefined}]})],
	['a negative time', JSON.stringify({...manifest, routes: [{...manifest.routes[1], timeoutS: -1}]})],
];

for (const [name, text] of malformed) {
	test(`rejected: ${name}`, t => {
		t.throws(() => decodeManifest(text));
	});
}
