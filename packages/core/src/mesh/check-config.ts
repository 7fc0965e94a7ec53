/** Finds contradictions in a configuration of the route mesh, and entries that can never match. */
import * as checkDifferences from '../config/check-differences.js';
import * as checkFindings from '../config/check-findings.js';
import * as routeTables from './routes.js';
import type * as types from './types.js';

type CheckFinding = checkFindings.CheckFinding;

const { createError, createWarning } = checkFindings;
/** Shortest time that one attempt can use; timers of Node.js have a resolution of 1 ms. */
const MIN_ATTEMPT_MS = 1;

function checkNames(list: string, items: readonly { name: string }[]): CheckFinding[] {
  return items.flatMap(({ name }, index) =>
    items.findIndex((item) => item.name === name) === index
      ? []
      : [createError('NAME_DUPLICATE', `${list}.${index}.name`, `"${name}" is given twice`)],
  );
}

function checkHiddenRoutes(routes: readonly types.RoutePolicy[]): CheckFinding[] {
  return routes.flatMap(({ host, pathPrefix }, index) => {
    const hidingRoute = routes
      .slice(0, index)
      .find(
        (route) =>
          route.pathPrefix === pathPrefix &&
          routeTables.normaliseHostHeader(route.host) === routeTables.normaliseHostHeader(host),
      );
    if (!hidingRoute) return [];
    const message = `route "${hidingRoute.name}" has the same host and path prefix and comes first, so this one can never match`;
    return [createError('PREFIX_DUPLICATE', `routes.${index}.pathPrefix`, message)];
  });
}

function checkParts(
  { parts }: types.RoutePolicy,
  path: string,
  services: ReadonlySet<string>,
): CheckFinding[] {
  const partsPath = `${path}.parts`;
  const missing = parts.flatMap(({ service }, index) =>
    services.has(service)
      ? []
      : [
          createError(
            'SERVICE_MISSING',
            `${partsPath}.${index}.service`,
            `service "${service}" does not exist`,
          ),
        ],
  );
  if (parts.length === 0) {
    return [createError('SERVICE_MISSING', partsPath, 'the route has no service')];
  }
  if (parts.every(({ weight }) => weight === 0)) {
    const message = 'are all of weight 0, so the weights decide nothing';
    return [...missing, createError('WEIGHTS_ALL_ZERO', partsPath, message)];
  }
  const unused = parts.flatMap(({ service, weight }, index) =>
    weight > 0
      ? []
      : [
          createWarning(
            'SHARE_UNUSABLE',
            `${partsPath}.${index}.weight`,
            `is 0, so service "${service}" gets no call of the route`,
          ),
        ],
  );
  return [...missing, ...unused];
}

function checkTimes(route: types.RoutePolicy, path: string): CheckFinding[] {
  const { timeoutMs, objectiveMs, maxAttempts, isRepeatable } = route;
  const findings: CheckFinding[] = [];
  if (objectiveMs > timeoutMs) {
    const message = `is above the time-out of ${timeoutMs} ms, so no call can use it up`;
    findings.push(createWarning('OBJECTIVE_ABOVE_TIMEOUT', `${path}.objectiveMs`, message));
  }
  // Operators set a number of attempts for orders as well, where it has no effect.
  if (isRepeatable && maxAttempts > 1 && timeoutMs / maxAttempts < MIN_ATTEMPT_MS) {
    const message = `needs more time than the time-out of ${timeoutMs} ms, with ${MIN_ATTEMPT_MS} ms for each attempt`;
    findings.push(createWarning('ATTEMPTS_WITHOUT_TIME', `${path}.maxAttempts`, message));
  }
  return findings;
}

function checkAccount(
  account: types.ClientAccount,
  path: string,
  accounts: readonly types.ClientAccount[],
): CheckFinding[] {
  const { keyDigests, ratePerSecond, burst } = account;
  const findings: CheckFinding[] = [];
  if (keyDigests.length === 0) {
    const message = 'is empty, so no caller can use the account';
    findings.push(createWarning('NO_KEY', `${path}.keyDigests`, message));
  }
  const earlierAccounts = accounts.slice(0, accounts.indexOf(account));
  keyDigests.forEach((digest, index) => {
    const holder = earlierAccounts.find((other) => other.keyDigests.includes(digest));
    if (!holder) return;
    const message = `account "${holder.name}" holds the same key (digest ${checkFindings.formatDigest(digest)})`;
    findings.push(createError('KEY_SHARED', `${path}.keyDigests.${index}`, message));
  });
  if (ratePerSecond > 0 && burst < 1) {
    const message = 'is below one call, so calls are admitted only at the fixed times of the rate';
    findings.push(createWarning('BURST_BELOW_RATE', `${path}.burst`, message));
  }
  if (ratePerSecond === 0 && burst > 0) {
    const message = 'has no effect, because the account has no rate';
    findings.push(createWarning('SHARE_UNUSABLE', `${path}.burst`, message));
  }
  return findings;
}

/**
 * Checks one configuration. The paths of findings are those of `MeshConfig`.
 *
 * @example
 * checkMeshConfig(config).map(({ code }) => code);
 */
export function checkMeshConfig(config: types.MeshConfig): CheckFinding[] {
  const { routes, services, accounts = [] } = config;
  const serviceNames = new Set(services.map(({ name }) => name));
  const used = new Set(routes.flatMap(({ parts }) => parts.map(({ service }) => service)));
  const unusedServices = services.flatMap(({ name }, index) =>
    used.has(name)
      ? []
      : [createWarning('NOT_ROUTED', `services.${index}`, `no route leads to service "${name}"`)],
  );
  return [
    ...checkNames('routes', routes),
    ...checkNames('services', services),
    ...checkNames('accounts', accounts),
    ...checkHiddenRoutes(routes),
    ...routes.flatMap((route, index) => [
      ...checkParts(route, `routes.${index}`, serviceNames),
      ...checkTimes(route, `routes.${index}`),
    ]),
    ...unusedServices,
    ...accounts.flatMap((account, index) => checkAccount(account, `accounts.${index}`, accounts)),
  ];
}

/**
 * Lists the fields that differ between two configurations.
 *
 * @example
 * listMeshDifferences(configInForce, nextConfig).length;
 */
export function listMeshDifferences(
  before: types.MeshConfig,
  after: types.MeshConfig,
): checkFindings.FieldDifference[] {
  return checkDifferences.listDifferences({ ...before }, { ...after });
}
