import {type ChainServices} from './chain-services.js';

/** Inner calls of each service in the chain. */
export function chainCalls({entry, second, third}: ChainServices): Readonly<Record<string, readonly string[]>> {
	return {
		[entry]: ['GET /plan', 'GET /price'],
		[second]: ['GET /detail'],
		[third]: ['/detail=GET /due'],
	};
}
