import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const root = fileURLToPath(new URL('../../../../../', import.meta.url));
const wireNames = /X-Server-Seal|X-Expect-Instance|X-Not-Run|kv-(?:key|range|watch|txn|lease|keep)|appAddr|seedAddrs|coldLeftS|beatAddr|KUMQUATLINE_BOOT|op\/config/iv;

test('names of the platform appear only in src/platform, in stand-ins and in tests', t => {
	const places: string[] = [];
	for (const folder of ['src', 'prove']) {
		for (const entry of readdirSync(join(root, folder), {recursive: true, withFileTypes: true})) {
			const path = join(entry.parentPath, entry.name);
			const isExempt = path.includes(`${join('src', 'platform')}/`) || path.includes('/test/');
			if (entry.isFile() && path.endsWith('.ts') && !isExempt && wireNames.test(readFileSync(path, 'utf8'))) {
				places.push(path);
			}
		}
	}

	t.deepEqual(places, []);
});
