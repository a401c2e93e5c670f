import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Memory that this process uses, without garbage. */
export function usedBytes(): number {
	collectGarbage();
	const {heapUsed, external} = process.memoryUsage();
	return heapUsed + external;
}
