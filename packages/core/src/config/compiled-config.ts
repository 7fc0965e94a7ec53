import * as fold from './fold.js';
import type * as schemas from './schemas.js';

/** Immutable index of one configuration version, built once for the look-ups of all requests. */
export interface CompiledConfig {
  readonly position: number;
  readonly version: number;
  readonly digest: string;
  readonly state: schemas.State;
  /** Contracts by the SHA-256 digest of each of their API keys. */
  readonly contractsByKeyDigest: ReadonlyMap<string, schemas.Contract>;
  /** Contracts by name. */
  readonly contracts: ReadonlyMap<string, schemas.Contract>;
  /** Services by name. */
  readonly services: ReadonlyMap<string, schemas.Service>;
  /** Routes in order of matching: longest path prefix first. */
  readonly routes: readonly schemas.Route[];
  /** Names of the data centres of the fleet; empty without a fleet resource. */
  readonly dataCentres: readonly string[];
}

/** The route, service and request kind that a method and path match. */
export interface RouteMatch {
  route: schemas.Route;
  service: schemas.Service;
  /** Undefined when the service has no request kind for the method and path. */
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
 * Builds the index of a configuration state.
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

/**
 * Returns whether a path is the prefix or lies below it.
 *
 * @example
 * isUnderPrefix('/catalogue/7', '/catalogue'); // true
 */
export function isUnderPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/';
}

/**
 * Finds the route, service and request kind for a method and a path without its query string.
 * Returns undefined when no route matches.
 *
 * @example
 * matchRoute(config, 'GET', '/catalogue/garments/7')?.service.name;
 */
export function matchRoute(
  config: CompiledConfig,
  method: string,
  path: string,
): RouteMatch | undefined {
  const route = config.routes.find(({ pathPrefix }) => isUnderPrefix(path, pathPrefix));
  const service = route && config.services.get(route.service);
  if (!route || !service) return undefined;
  const remainder = path.slice(route.pathPrefix.length);
  const relativePath = remainder.startsWith('/') ? remainder : `/${remainder}`;
  const requestKind = service.requestKinds.find(
    (kind) => kind.method === method && isUnderPrefix(relativePath, kind.pathPrefix),
  );
  return { route, service, requestKind };
}
