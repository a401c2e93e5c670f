const layers = ['base', 'runtime', 'services', 'platform', 'programs'];

/** Forbids imports from higher layers, and from test programs. */
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
			// The kernel injects services as constructor parameters, by position.
			'max-params': 'off',
			// A service's interface and the identifier it is registered under have the same name.
			'@typescript-eslint/no-redeclare': 'off',
			'no-redeclare': 'off',
			// Each connection and peer has one sequential task, which awaits in a loop.
			'no-await-in-loop': 'off',
			'@typescript-eslint/prefer-readonly-parameter-types': 'off',
			'unicorn/prevent-abbreviations': 'off',
			// Ava runs the compiled test files.
			'ava/no-ignored-test-files': 'off',
			'import-x/no-cycle': 'error',
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// Interfaces declare behaviour, type aliases declare data.
			'@typescript-eslint/consistent-type-definitions': 'off',
		},
	},
	{
		// These files hold only an interface and the service identifier of the same name.
		files: ['src/**/*-service.ts', 'src/runtime/http/header-names.ts', 'src/services/relay/running-requests.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// The platform's messages use other naming conventions.
		files: ['src/platform/**/*.ts', 'standins/store/*.ts', 'src/services/exchange/strict-http-parser.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	...layers.map((layer, index) => layerRule(layer, index)),
];

export default config;
