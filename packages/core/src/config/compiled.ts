/** An immutable index of a folded state, built once per version for the request path. */
import * as fold from './fold.js';
import type * as schemas from './schemas.js';

/** One version of the configuration, ready for look-ups. */
export interface CompiledConfig {
  readonly position: number;
  readonly version: number;
  readonly digest: string;
  readonly state: schemas.State;
  /** Contracts by the digest of each of their API keys. */
  readonly contractsByKeyDigest: ReadonlyMap<string, schemas.Contract>;
  readonly contracts: ReadonlyMap<string, schemas.Contract>;
  readonly services: ReadonlyMap<string, schemas.Service>;
  /** Routes, longest path prefix first. */
  readonly routes: readonly schemas.Route[];
  readonly dataCentres: readonly string[];
}

/** What a path and method lead to. */
export interface RouteMatch {
  route: schemas.Route;
  service: schemas.Service;
  requestKind: schemas.RequestKind | undefined;
}

type ResourceOf<K extends schemas.Resource['kind']> = Extract<schemas.Resource, { kind: K }>;

function listResources<K extends schemas.Resource['kind']>(
  state: schemas.State,
  kind: K,
): ResourceOf<K>[] {
  return Object.values(state.resources)
    .map(({ resource }) => resource)
    .filter((resource): resource is ResourceOf<K> => resource.kind === kind);
}

/**
 * Builds the index of a state.
 *
 * @example
 * const config = compileConfig(state);
 */
export function compileConfig(state: schemas.State): CompiledConfig {
  const contracts = listResources(state, 'contract');
  const services = listResources(state, 'service');
  const [fleet] = listResources(state, 'fleet');
  return Object.freeze({
    position: state.position,
    version: state.version,
    digest: fold.computeStateDigest(state),
    state,
    contractsByKeyDigest: new Map(
      contracts.flatMap((contract) => contract.keyDigests.map((digest) => [digest, contract])),
    ),
    contracts: new Map(contracts.map((contract) => [contract.name, contract])),
    services: new Map(services.map((service) => [service.name, service])),
    routes: listResources(state, 'route').sort(
      (left, right) => right.pathPrefix.length - left.pathPrefix.length,
    ),
    dataCentres: fleet ? fleet.dataCentres.map((dataCentre) => dataCentre.name) : [],
  });
}

function isBelow(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

/**
 * Finds the route, service and request kind of a path without its query.
 *
 * @example
 * matchRoute(config, 'GET', '/catalogue/garments/7')?.service.name;
 */
export function matchRoute(
  config: CompiledConfig,
  method: string,
  path: string,
): RouteMatch | undefined {
  const route = config.routes.find(({ pathPrefix }) => isBelow(path, pathPrefix));
  const service = route && config.services.get(route.service);
  if (!route || !service) return undefined;
  const rest = path.slice(route.pathPrefix.length);
  const below = rest.startsWith('/') ? rest : `/${rest}`;
  const requestKind = service.requestKinds.find(
    (kind) => kind.method === method && isBelow(below, kind.pathPrefix),
  );
  return { route, service, requestKind };
}
