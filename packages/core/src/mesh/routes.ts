/** Route look-up by Host header and longest path prefix. */
import * as accountTables from './accounts.js';
import type * as types from './types.js';

/** Routes of one configuration version, indexed by host name. */
export interface RouteTable {
  config: types.MeshConfig;
  /** Undefined if callers need no API keys. */
  accounts: accountTables.AccountTable | undefined;
  findRoute(host: string, path: string): types.RoutePolicy | undefined;
}

/**
 * Removes the port from a Host header and puts it in lower case.
 *
 * @example
 * normaliseHostHeader('Shop.example:80'); // 'shop.example'
 */
export function normaliseHostHeader(host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase();
}

/**
 * Compiles the routes of a configuration.
 *
 * @example
 * compileRoutes(config).findRoute('shop.example', '/stock/7')?.name;
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
    accounts: config.accounts && accountTables.compileAccounts(config.accounts),
    findRoute: (host, path) =>
      routesByHost
        .get(normaliseHostHeader(host))
        ?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
  };
}
