import {type z} from 'zod';
import {parsePolicy} from '../../services/policy/parse-policy.js';
import {type Policy} from '../../services/policy/policy.js';
import {manifestDocument} from './manifest-document.js';

type ManifestRoute = z.infer<typeof manifestDocument>['routes'][number];

const msPerSecond = 1000;
/** Callers at the outbound address are not distinguished; each request states how long its caller waits. */
const anyCaller = {name: 'any', patienceMs: 60_000, retryTotal: 0};

/** Converts the operators' configuration to a policy; throws if it is malformed. */
export function decodeManifest(text: string): Policy {
	const {version, routes, limits} = manifestDocument.parse(JSON.parse(text));
	return parsePolicy({
		version: Number(version.slice(1)),
		services: [],
		operations: [],
		callers: [anyCaller],
		routes: routes.map(route => decodeRoute(route)),
		limits: {
			maxHeaderBytes: limits.maxHeaderBytes,
			maxBodyBytes: limits.maxBodyBytes,
			headerTimeoutMs: limits.headerTimeoutS * msPerSecond,
			idleTimeoutMs: limits.idleTimeoutS * msPerSecond,
		},
	});
}

function decodeRoute(route: ManifestRoute): unknown {
	const {name, host, prefix, priority} = route;
	return {
		name,
		host,
		prefix,
		priority,
		idempotent: route.kind === 'idempotent',
		timeoutMs: route.timeoutS * msPerSecond,
		objectiveMs: route.goalS * msPerSecond,
		maxUpstreams: route.attempts,
		targets: route.split ?? [{service: route.service, weight: 1}],
	};
}
