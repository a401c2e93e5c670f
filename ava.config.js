import {readFileSync} from 'node:fs';

/** Titles of tests that fail because of known faults and are skipped; `scripts/known-red.sh` prints their entries. */
const knownRed = readFileSync(new URL('KNOWN-RED.txt', import.meta.url), 'utf8')
	.split('\n')
	.filter(line => line !== '' && !line.startsWith('#'))
	.map(line => line.split(' | ')[0]);

const config = {
	files: ['target/out/**/test/**/*.test.js'],
	timeout: '3m',
	concurrency: 4,
	snapshotDir: 'snapshots',
	workerThreads: false,
	...(knownRed.length > 0 && {match: ['*', ...knownRed.map(title => `!${title}`)]}),
};

export default config;
