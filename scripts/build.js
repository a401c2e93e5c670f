// Bundles each program into a single executable file in target/.
import {chmod, mkdir} from 'node:fs/promises';
import {build} from 'esbuild';

const programs = new Map([
	['kumquatline-node', 'src/programs/node/main.ts'],
	['kumquatline', 'src/programs/cli/main.ts'],
]);

await mkdir('target', {recursive: true});
for (const [name, entryPoint] of programs) {
	const outfile = `target/${name}`;

	await build({
		entryPoints: [entryPoint],
		outfile,
		bundle: true,
		platform: 'node',
		format: 'esm',
		target: 'node20',
		external: ['unix-dgram'],
		minify: false,
		legalComments: 'none',
		logLevel: 'warning',
		banner: {
			js: '#!/usr/bin/env node\nimport {createRequire as createBundleRequire} from \'node:module\';\nconst require = createBundleRequire(import.meta.url);',
		},
	});

	await chmod(outfile, 0o755);
}
