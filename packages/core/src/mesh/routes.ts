/** Route look-up by Host header and longest path prefix. */
import type * as types from './types.js';

/** Routes of one configuration version, indexed by host name. */
export interface RouteTable {
  config: types.MeshConfig;
  /** Returns the matching route; undefined when there is none. */
  findRoute(host: string, path: string): types.RoutePolicy | undefined;
}

/** Removes the port and converts the name to lower case. */
function normaliseHostHeader(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Compiles the routes of a configuration.
 *
 * @example
 * compileRoutes(config).find('shop.example', '/stock/7')?.name;
 */
export function compileRoutes(config: types.MeshConfig): RouteTable {
  const routesByHost = new Map<string, types.RoutePolicy[]>();
  config.routes.forEach((route) => {
    const key = normaliseHostHeader(route.host);
    routesByHost.set(key, [...(routesByHost.get(key) ?? []), route]);
  });
  routesByHost.forEach((routes) =>
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
  );
  return {
    config,
    findRoute: (host, path) =>
      routesByHost
        .get(normaliseHostHeader(host))
        ?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
  };
}
