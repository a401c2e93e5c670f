import {type Route} from './route.js';

/** The routes of one policy version; the longest matching prefix of a host takes precedence. */
export class RouteTable {
	private readonly byHost = new Map<string, Map<string, Route>>();

	constructor(readonly version: number, routes: readonly Route[]) {
		for (const route of routes) {
			const host = route.host.toLowerCase();
			const byPrefix = this.byHost.get(host) ?? new Map<string, Route>();
			this.byHost.set(host, byPrefix.set(route.prefix, route));
		}
	}

	/** Finds the route of a request by its host, with or without a port, and its path and query. */
	match(host: string, target: string): Route | undefined {
		const byPrefix = this.byHost.get(host.toLowerCase()) ?? this.byHost.get(host.toLowerCase().replace(/:\d+$/v, ''));
		if (!byPrefix) {
			return undefined;
		}

		const queryIndex = target.indexOf('?');
		const path = queryIndex === -1 ? target : target.slice(0, queryIndex);
		for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			const route = byPrefix.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}

			if (end === 0) {
				break;
			}
		}

		return undefined;
	}
}
