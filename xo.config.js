const layers = ['base', 'runtime', 'services', 'platform', 'programs'];

/** Forbids a layer to import from the layers above it. */
const layerRule = (layer, index) => ({
	files: [`src/${layer}/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			patterns: [
				...layers.slice(index + 1).map(upper => ({
					group: [`**/${upper}/**`],
					message: `src/${layer} may not import from src/${upper}`,
				})),
				{group: ['**/standins/**', '**/bench/**', '**/prove/**'], message: 'src may not import test programs'},
			],
		}],
	},
});

const config = [
	{ignores: ['target/**']},
	{
		rules: {
			// Services are numbered in the order in which constructors ask for them.
			'max-params': 'off',
			// An interface and the identifier it is registered under share one name.
			'@typescript-eslint/no-redeclare': 'off',
			'no-redeclare': 'off',
			// Waits in loops are the straight-down style of one task for each connection and peer.
			'no-await-in-loop': 'off',
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'unicorn/prevent-abbreviations': 'off',
			// The test files that ava runs are the compiled ones.
			'ava/no-ignored-test-files': 'off',
			'import-x/no-cycle': 'error',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Behaviour is declared by interfaces, data by types.
			'@typescript-eslint/consistent-type-definitions': 'off',
		},
	},
	{
		// Such a file holds one interface and the identifier of the same name, nothing else.
		files: ['src/**/*-service.ts', 'src/runtime/http/header-names.ts', 'src/services/relay/running-requests.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// The platform's messages have names of their own.
		files: ['src/platform/**/*.ts', 'standins/store/*.ts', 'src/services/exchange/strict-http-parser.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	...layers.map((layer, index) => layerRule(layer, index)),
];

export default config;
