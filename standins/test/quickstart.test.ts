import {execFile} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import test from 'ava';

const quickstart = fileURLToPath(new URL('../quickstart.js', import.meta.url));
const ids = /[\da-f]{8}(-[\da-f]{4}){3}-[\da-f]{12}/gv;

test('the quickstart shows new users what callers get and exits on its own', async t => {
	const {stdout} = await promisify(execFile)(process.execPath, [quickstart]);
	t.snapshot(stdout.replaceAll(ids, 'ID').replaceAll(/"availabilityZone":"(north|south)"/gv, '"availabilityZone":"ZONE"'));
});
