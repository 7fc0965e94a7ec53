/** Finds the route of a call by host and longest path prefix. */
import type * as types from './types.js';

/** Routes of one version, ready for look-up. */
export interface RouteTable {
  config: types.MeshConfig;
  find(host: string, path: string): types.RoutePolicy | undefined;
}

/** The host without its port, in lower case. */
function formatHost(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Compiles the routes of a configuration.
 *
 * @example
 * compileRoutes(config).find('shop.example', '/stock/7')?.name;
 */
export function compileRoutes(config: types.MeshConfig): RouteTable {
  const byHost = new Map<string, types.RoutePolicy[]>();
  config.routes.forEach((route) => {
    const key = formatHost(route.host);
    byHost.set(key, [...(byHost.get(key) ?? []), route]);
  });
  byHost.forEach((routes) =>
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length),
  );
  return {
    config,
    find: (host, path) =>
      byHost.get(formatHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
  };
}
