/** Finds contradictions in contracts, services and routes, and entries that can never match. */
import * as tokenCache from '../limits/token-cache.js';
import * as checkFindings from './check-findings.js';
import * as compiledConfig from './compiled-config.js';
import * as references from './references.js';
import type * as schemas from './schemas.js';

type Resources = ReadonlyMap<string, schemas.Resource>;
type CheckFinding = checkFindings.CheckFinding;

const { createWarning } = checkFindings;
const MS_PER_SECOND = 1_000;
/**
 * Part of the time-out that calls must be able to take on average at the full rate. Calls usually
 * take far less than their time-out, but a lower bound than a tenth leaves no room for slow ones.
 */
const MIN_TIMEOUT_SHARE = 0.1;

/** Codes that state that something is missing; they hold only if every resource could be read. */
export const absenceCodes: ReadonlySet<string> = new Set(['NOT_COVERED', 'NOT_ROUTED']);

/**
 * Gives a finding of `checkReferences` its code. The findings have none, because they are part of the
 * configuration state and of its digest.
 */
function classifyReference({ path, message }: references.Finding): CheckFinding {
  if (path.endsWith('.keyDigests')) return checkFindings.createError('KEY_SHARED', path, message);
  if (path.endsWith('.pathPrefix')) {
    return checkFindings.createError('PREFIX_DUPLICATE', path, message);
  }
  return checkFindings.createError('SERVICE_MISSING', path, message);
}

function listOf<K extends schemas.Resource['kind']>(
  resources: Resources,
  kind: K,
): Extract<schemas.Resource, { kind: K }>[] {
  return [...resources.values()].filter(
    (resource): resource is Extract<schemas.Resource, { kind: K }> => resource.kind === kind,
  );
}

function checkRates(contract: schemas.Contract, dataCentres: number): CheckFinding[] {
  const { name, ratePerSecond, burst } = contract;
  const path = `contract/${name}.burst`;
  const findings: CheckFinding[] = [];
  // Proxies take tokens in intervals; what comes in between beyond the burst is lost.
  const { intervalMs } = tokenCache.tokenCacheDefaults;
  const perInterval = (ratePerSecond * intervalMs) / MS_PER_SECOND;
  if (burst < perInterval) {
    const message = `is below the ${perInterval} calls that the rate allows in ${intervalMs} ms, so the rate cannot be reached`;
    findings.push(createWarning('BURST_BELOW_RATE', path, message));
  }
  if (burst < dataCentres) {
    const message = `divided among ${dataCentres} data centres is less than one call, so a share cannot be used`;
    findings.push(createWarning('SHARE_UNUSABLE', path, message));
  }
  return findings;
}

function checkDurations(
  contract: schemas.Contract,
  kinds: readonly schemas.RequestKind[],
): CheckFinding[] {
  if (kinds.length === 0) return [];
  const { name, ratePerSecond, concurrency, maxDeadlineMs } = contract;
  const findings: CheckFinding[] = [];
  const longestMs = Math.max(...kinds.map(({ timeoutMs }) => timeoutMs));
  if (maxDeadlineMs > longestMs) {
    const message = `is above every time-out of the services, at most ${longestMs} ms, so it has no effect`;
    findings.push(
      createWarning('DEADLINE_ABOVE_TIMEOUT', `contract/${name}.maxDeadlineMs`, message),
    );
  }
  const shortestMs = Math.min(maxDeadlineMs, ...kinds.map(({ timeoutMs }) => timeoutMs));
  const meanMs = (concurrency / ratePerSecond) * MS_PER_SECOND;
  if (meanMs < shortestMs * MIN_TIMEOUT_SHARE) {
    const message = `allows the rate only if calls take ${Number(meanMs.toPrecision(2))} ms on average, below a tenth of the shortest time-out, ${shortestMs} ms`;
    findings.push(createWarning('CONCURRENCY_BELOW_RATE', `contract/${name}.concurrency`, message));
  }
  return findings;
}

function checkKindWeights(contract: schemas.Contract, resources: Resources): CheckFinding[] {
  return Object.keys(contract.kindWeights).flatMap((key) => {
    const [serviceName = '', kindName] = key.split('/');
    const service = resources.get(`service/${serviceName}`);
    const isCovered = contract.services.includes(serviceName);
    // A service that does not exist is reported as a missing reference.
    if (isCovered && service?.kind !== 'service') return [];
    const exists =
      service?.kind === 'service' && service.requestKinds.some(({ name }) => name === kindName);
    if (isCovered && exists) return [];
    const path = `contract/${contract.name}.kindWeights.${key}`;
    const message = isCovered
      ? 'names no request kind of the service'
      : 'names no service of the contract';
    return [createWarning('WEIGHT_UNUSED', path, message)];
  });
}

function checkContract(contract: schemas.Contract, resources: Resources): CheckFinding[] {
  const kinds = contract.services.flatMap((name) => {
    const service = resources.get(`service/${name}`);
    return service?.kind === 'service' ? service.requestKinds : [];
  });
  const [fleet] = listOf(resources, 'fleet');
  const noKey = createWarning(
    'NO_KEY',
    `contract/${contract.name}.keyDigests`,
    'is empty, so no caller can use the contract',
  );
  return [
    ...(contract.keyDigests.length === 0 ? [noKey] : []),
    ...checkRates(contract, fleet?.dataCentres.length ?? 1),
    ...checkDurations(contract, kinds),
    ...checkKindWeights(contract, resources),
  ];
}

function checkHiddenKinds({ name, requestKinds }: schemas.Service): CheckFinding[] {
  return requestKinds.flatMap((kind, index) => {
    const hiding = requestKinds
      .slice(0, index)
      .find(
        ({ method, pathPrefix }) =>
          method === kind.method && compiledConfig.isUnderPrefix(kind.pathPrefix, pathPrefix),
      );
    if (!hiding) return [];
    const message = `request kind "${kind.name}" can never match, because "${hiding.name}" comes first`;
    return [createWarning('KIND_HIDDEN', `service/${name}.requestKinds.${index}`, message)];
  });
}

function checkCoverage(resources: Resources): CheckFinding[] {
  const covered = new Set(listOf(resources, 'contract').flatMap(({ services }) => services));
  const routes = listOf(resources, 'route');
  const routed = new Set(routes.map(({ service }) => service));
  const services = listOf(resources, 'service').flatMap(({ name, requestKinds }) => {
    const path = `service/${name}`;
    const kinds = `so its ${requestKinds.length} request kinds can never match`;
    return [
      ...(covered.has(name)
        ? []
        : [createWarning('NOT_COVERED', path, `no contract covers the service, ${kinds}`)]),
      ...(routed.has(name)
        ? []
        : [createWarning('NOT_ROUTED', path, `no route leads to the service, ${kinds}`)]),
    ];
  });
  const uncoveredRoutes = routes
    .filter(({ service }) => resources.has(`service/${service}`) && !covered.has(service))
    .map(({ name, service }) => {
      const message = `no contract covers service "${service}", so the route can never match`;
      return createWarning('NOT_COVERED', `route/${name}.service`, message);
    });
  return [...services, ...uncoveredRoutes];
}

/**
 * Checks a complete set of resources. The keys of `resources` are resource ids.
 *
 * @example
 * checkResources(resources).some(isError);
 */
export function checkResources(resources: Resources): CheckFinding[] {
  return [
    ...references.checkReferences(resources).map(classifyReference),
    ...listOf(resources, 'service').flatMap(checkHiddenKinds),
    ...checkCoverage(resources),
    ...listOf(resources, 'contract').flatMap((contract) => checkContract(contract, resources)),
  ];
}
