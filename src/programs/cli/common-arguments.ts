import {flag, option} from 'cmd-ts';
import {boundedInteger} from '../../runtime/settings/bounded-integer.js';
import {nodeUrl} from './node-url.js';

const maxTimeoutMs = 600_000;

/** Arguments of every command that queries a node. */
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
		description: 'print a JSON document instead of text',
	}),
	timeoutMs: option({
		long: 'timeout-ms',
		type: boundedInteger('ms', 1, maxTimeoutMs),
		description: 'maximum duration of the command',
		defaultValue: () => 20_000,
	}),
};
