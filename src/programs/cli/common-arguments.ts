import {flag, option} from 'cmd-ts';
import {boundedInteger} from '../../runtime/settings/bounded-integer.js';
import {nodeUrl} from './node-url.js';

const maxTimeoutMs = 600_000;

/** Arguments that every command takes. */
export const commonArguments = {
	node: option({
		long: 'node',
		env: 'KUMQUATLINE_NODE',
		type: nodeUrl,
		description: 'base URL of any node',
		defaultValue: () => 'http://127.0.0.1:7080',
	}),
	json: flag({
		long: 'json',
		description: 'print one JSON document for machines',
	}),
	timeoutMs: option({
		long: 'timeout-ms',
		type: boundedInteger('ms', 1, maxTimeoutMs),
		description: 'how long the command may take in all',
		defaultValue: () => 20_000,
	}),
};
