/**
 * Checks the references between resources. The messages of findings are part of the configuration
 * state and of its digest, so they must be equal in all processes.
 */
import type * as schemas from './schemas.js';

/** A problem in a document or change. */
export interface Finding {
  /** Resource id, or path of a value in the resource, such as `route/catalogue.service`. */
  path: string;
  message: string;
}

type Resources = ReadonlyMap<string, schemas.Resource>;

/**
 * Formats the id under which a resource is stored.
 *
 * @example
 * formatResourceId({ kind: 'route', name: 'catalogue', ... }); // 'route/catalogue'
 */
export function formatResourceId(resource: Pick<schemas.Resource, 'kind' | 'name'>): string {
  return `${resource.kind}/${resource.name}`;
}

function checkContract(contract: schemas.Contract, resources: Resources): Finding[] {
  const missingServices = contract.services
    .map((service, index) => ({ service, index }))
    .filter(({ service }) => !resources.has(`service/${service}`))
    .map(({ service, index }) => ({
      path: `contract/${contract.name}.services.${index}`,
      message: `service "${service}" does not exist`,
    }));
  const sharedKeys = [...resources.values()].flatMap((other) => {
    if (other.kind !== 'contract' || other.name >= contract.name) return [];
    return other.keyDigests
      .filter((digest) => contract.keyDigests.includes(digest))
      .map(() => ({
        path: `contract/${contract.name}.keyDigests`,
        message: 'holds an API key that another contract holds too',
      }));
  });
  return [...missingServices, ...sharedKeys];
}

function checkRoute(route: schemas.Route, resources: Resources): Finding[] {
  const findings: Finding[] = [];
  if (!resources.has(`service/${route.service}`)) {
    findings.push({
      path: `route/${route.name}.service`,
      message: `service "${route.service}" does not exist`,
    });
  }
  resources.forEach((other) => {
    if (other.kind !== 'route' || other.name >= route.name) return;
    if (other.pathPrefix !== route.pathPrefix) return;
    findings.push({
      path: `route/${route.name}.pathPrefix`,
      message: `route "${other.name}" has the same path prefix`,
    });
  });
  return findings;
}

const checkByKind: {
  [K in schemas.Resource['kind']]: (
    resource: Extract<schemas.Resource, { kind: K }>,
    resources: Resources,
  ) => Finding[];
} = {
  contract: checkContract,
  route: checkRoute,
  service: () => [],
  fleet: () => [],
};

/**
 * Lists the references to services that do not exist, the API keys that several contracts have and
 * the path prefixes that several routes have. The keys of `resources` are resource ids.
 *
 * @example
 * checkReferences(new Map([['route/a', { kind: 'route', name: 'a', pathPrefix: '/a', service: 'x' }]]));
 */
export function checkReferences(resources: Resources): Finding[] {
  return [...resources.values()].flatMap((resource) =>
    (checkByKind[resource.kind] as (resource: schemas.Resource, resources: Resources) => Finding[])(
      resource,
      resources,
    ),
  );
}
