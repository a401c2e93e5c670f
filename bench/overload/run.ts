import {resolve} from 'node:path';
import {fileURLToPath} from 'node:url';
import {type BenchOptions} from '../bench-options.js';
import {BaselineSystem} from './baseline-system.js';
import {capacityOf} from './capacity-of.js';
import {KumquatlineSystem} from './kumquatline-system.js';
import {lahoreSetup} from './lahore-setup.js';
import {measureRun} from './measure-run.js';
import {misledSetup} from './misled-setup.js';
import {type OverloadFigures} from './overload-figures.js';
import {perthSetup} from './perth-setup.js';
import {runLoad} from './run-load.js';
import {smallSetup} from './small-setup.js';
import {type SystemUnderTest} from './system-under-test.js';

type OverloadReport = {
	readonly bench: 'overload';
	readonly seed: number;
	readonly setup: string;
	readonly scale: string;
	readonly load: string;
	readonly systems: readonly OverloadFigures[];
};

const setups = [smallSetup, misledSetup, perthSetup, lahoreSetup];
const variantFile = fileURLToPath(new URL('variant-node.js', import.meta.url));

/**
Applies the same load with the same trigger to one system after another.

`--setup small|misled|perth|lahore`; `--against DIR` adds the build in DIR/target; `--without NAME` adds this build with a simpler variant;
`--only NAME` runs just that system.
*/
export async function run({seed, args}: BenchOptions): Promise<OverloadReport> {
	const [setupName = 'small'] = valuesOf(args, '--setup');
	const setup = setups.find(({name}) => name === setupName);
	if (!setup) {
		throw new Error(`--setup must be one of ${setups.map(({name}) => name).join(', ')}, not ${setupName}`);
	}

	const [only] = valuesOf(args, '--only');
	const systems: OverloadFigures[] = [];
	for (const system of chooseSystems(args).filter(({name}) => only === undefined || name === only)) {
		const load = await runLoad(system, setup, seed);
		const figures = measureRun(system.name, load, capacityOf(setup) / setup.slowFactor);
		console.error(JSON.stringify(figures));
		systems.push(figures);
	}

	const {name, scale, usualLoadFraction, surgeFactor, slowService, slowFactor, oneWayDelayMs} = setup;
	return {
		bench: 'overload',
		seed,
		setup: name,
		scale,
		load: `${usualLoadFraction} of capacity; trigger for 10 s: ${slowService} ${slowFactor} times as slow, demand ${surgeFactor} times what that completes; callers ${oneWayDelayMs} ms away`,
		systems,
	};
}

function chooseSystems(args: readonly string[]): SystemUnderTest[] {
	return [
		new KumquatlineSystem('kumquatline'),
		new BaselineSystem(),
		...valuesOf(args, '--against').map(directory => new KumquatlineSystem(`against ${directory}`, resolve(directory, 'target/kumquatline-node'))),
		...valuesOf(args, '--without').map(name => new KumquatlineSystem(`without ${name}`, variantFile, ['--without', name])),
	];
}

function valuesOf(args: readonly string[], flag: string): string[] {
	return args.flatMap((value, index) => args[index - 1] === flag ? [value] : []);
}

