/** @module Rules for what a new version changes for requests by host and path. */
import { CallKind, type PublishedConfiguration, type Route } from '@ebonysill/gateway';
import { Access, accessOf, createFindRoute, indexRoutes, keyOfRoute } from './access.js';
import {
  RuleName,
  Severity,
  Version,
  findingsOf,
  quote,
  type Finding,
  type FieldPath,
  type FoundAt,
} from './finding.js';
import type { ConfigurationRule } from './rule.js';

/** Compares a version with the one in force. */
type Compare = (next: PublishedConfiguration, base: PublishedConfiguration) => readonly Finding[];

/** A rule that finds nothing without a version in force. */
export const comparing =
  (compare: Compare): ConfigurationRule =>
  ({ next, base }) =>
    base === undefined ? [] : compare(next, base);

const describePlace = ({ host, pathPrefix }: Route): string => quote(`${host}${pathPrefix}`);

/** Reports versions that gateways ignore, because they apply only higher ones. */
export const compareVersions = comparing((next, base) =>
  next.version > base.version
    ? []
    : [
        findingsOf(Severity.Error, RuleName.VersionNotHigher)(
          ['version'],
          `${next.version} is not above ${base.version}, the version in force; gateways ignore it`,
        ),
      ],
);

const MAX_NAMED_SERVICES = 5;

const describeServices = ({ services }: Route): string => {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  const chosen = services.filter(({ weight }) => weight > 0);
  const names = chosen
    .slice(0, MAX_NAMED_SERVICES)
    .map(({ service, weight }) =>
      weight === total
        ? quote(service)
        : `${quote(service)} (${((weight / total) * 100).toFixed(1)} %)`,
    );
  const more = chosen.length - names.length;
  return chosen.length === 0
    ? 'no service'
    : [...names, ...(more > 0 ? [`${more} more`] : [])].join(', ');
};

/** Indices of the routes that match in one configuration and have no equal in another. */
const listMissing = (
  present: PublishedConfiguration,
  absent: PublishedConfiguration,
): readonly { readonly route: Route; readonly index: number }[] => {
  const others = indexRoutes(absent);
  return [...indexRoutes(present)]
    .filter(([key]) => !others.has(key))
    .flatMap(([, index]) => {
      const route = present.routes[index];
      return route === undefined ? [] : [{ route, index }];
    });
};

/** Reports hosts and paths that are resolved by a new route. */
export const findAddedRoutes = comparing((next, base) => {
  const findBefore = createFindRoute(base);
  return listMissing(next, base).map(({ route, index }) => {
    const before = findBefore(route.host, route.pathPrefix);
    return findingsOf(Severity.Difference, RuleName.RouteAdded)(
      ['routes', index],
      `requests to ${describePlace(route)} go to ${describeServices(route)}; before, ${
        before === undefined ? 'they got 404' : `they matched route ${quote(before.name)}`
      }`,
    );
  });
});

/** Reports hosts and paths whose route is gone. */
export const findRemovedRoutes = comparing((next, base) => {
  const findAfter = createFindRoute(next);
  return listMissing(base, next).map(({ route, index }) => {
    const after = findAfter(route.host, route.pathPrefix);
    return {
      severity: Severity.Difference,
      rule: RuleName.RouteRemoved,
      version: Version.Base,
      path: ['routes', index],
      text: `requests to ${describePlace(route)} ${
        after === undefined ? 'get 404' : `match route ${quote(after.name)}`
      }; route ${quote(route.name)} is gone`,
    };
  });
});

interface KeptRoute {
  readonly index: number;
  readonly next: Route;
  readonly base: Route;
}

const listKept = (
  next: PublishedConfiguration,
  base: PublishedConfiguration,
): readonly KeptRoute[] => {
  const baseIndices = indexRoutes(base);
  return [...indexRoutes(next)].flatMap(([key, index]) => {
    const route = next.routes[index];
    const before = base.routes[baseIndices.get(key) ?? -1];
    return route === undefined || before === undefined
      ? []
      : [{ index, next: route, base: before }];
  });
};

const KIND_TEXT: Readonly<Record<CallKind, string>> = {
  [CallKind.Idempotent]: 'requests may run more than once',
  [CallKind.NonIdempotent]: 'requests run at most once and are not repeated',
  [CallKind.Streaming]: 'requests are answered with a stream of events',
};

/** Text of a change of one field of a route, and nothing if callers see no change. */
type DescribeField = (next: Route, base: Route) => string | undefined;

const describeDuration =
  (field: 'timeoutMs' | 'objectiveMs' | 'maxPauseMs', what: string): DescribeField =>
  (next, base) =>
    next[field] === base[field]
      ? undefined
      : `${what} ${next[field]} ms instead of ${base[field]} ms`;

const FIELD_DIFFERENCES: Readonly<Partial<Record<keyof Route, DescribeField>>> = {
  kind: (next, base) => (next.kind === base.kind ? undefined : KIND_TEXT[next.kind]),
  services: (next, base) =>
    describeServices(next) === describeServices(base)
      ? undefined
      : `requests go to ${describeServices(next)} instead of ${describeServices(base)}`,
  timeoutMs: describeDuration('timeoutMs', 'requests time out after'),
  objectiveMs: describeDuration('objectiveMs', 'the latency objective is'),
  maxPauseMs: describeDuration('maxPauseMs', 'the longest pause of streams is'),
  maxAttempts: (next, base) =>
    next.maxAttempts === base.maxAttempts
      ? undefined
      : `requests have up to ${next.maxAttempts} attempts instead of ${base.maxAttempts}`,
  priority: (next, base) =>
    next.priority === base.priority
      ? undefined
      : `requests are ${next.priority < base.priority ? 'more' : 'less'} urgent: priority ${next.priority} instead of ${base.priority}`,
  isResumable: (next, base) => {
    if (next.isResumable === base.isResumable) {
      return undefined;
    }
    return next.isResumable
      ? 'streams that break are resumed at another target'
      : 'streams that break are no longer resumed at another target';
  },
};

const describeFields = ({ index, next, base }: KeptRoute): readonly FoundAt[] =>
  Object.entries(FIELD_DIFFERENCES).flatMap(([field, describe]) => {
    const text = describe(next, base);
    const path: FieldPath = ['routes', index, field];
    return text === undefined ? [] : [{ path, text: `${describePlace(next)}: ${text}` }];
  });

/** Reports what changes for requests to the same host and path prefix. */
export const findChangedRoutes = comparing((next, base) =>
  listKept(next, base)
    .flatMap(describeFields)
    .map(({ path, text }) => findingsOf(Severity.Difference, RuleName.RouteChanged)(path, text)),
);

const countRoutes = (count: number): string => (count === 1 ? '1 route' : `${count} routes`);

interface OpenedRoute {
  readonly route: Route;
  readonly index: number;
  readonly before: Access;
}

/** Routes that anyone can call, of hosts and paths that were closed or not served before. */
const listOpened = (
  next: PublishedConfiguration,
  base: PublishedConfiguration,
): readonly OpenedRoute[] => {
  const findBefore = createFindRoute(base);
  return [...indexRoutes(next).values()].flatMap((index) => {
    const route = next.routes[index];
    if (route === undefined || accessOf(next, route) !== Access.Open) {
      return [];
    }
    const before = accessOf(base, findBefore(route.host, route.pathPrefix));
    return before === Access.Open ? [] : [{ route, index, before }];
  });
};

/** Whether a route is open only because the new version lists no organisations. */
const isOpenedWithAll = ({ route, before }: OpenedRoute): boolean =>
  !route.isPublic && before === Access.Closed;

/** Warns of credentials that are no longer needed at all, by one finding for all routes. */
const findAllOpened: Compare = (next, base) => {
  const count = listOpened(next, base).filter(isOpenedWithAll).length;
  return count === 0
    ? []
    : [
        findingsOf(Severity.Warning, RuleName.RouteOpened)(
          ['needsCredentials'],
          `anyone can call ${countRoutes(count)} that needed a credential, since no organisations are listed`,
        ),
      ];
};

/**
 * Warns of single hosts and paths that anyone can call from now on. A route that is gone may open its
 * paths too, if a shorter prefix matches them.
 */
const findOpenedPlaces: Compare = (next, base) => {
  const findAfter = createFindRoute(next);
  const create = findingsOf(Severity.Warning, RuleName.RouteOpened);
  const opened = listOpened(next, base)
    .filter((place) => !isOpenedWithAll(place))
    .map(({ route, index, before }) =>
      create(
        ['routes', index, ...(route.isPublic ? ['isPublic'] : [])],
        `anyone can call ${describePlace(route)}; before, ${
          before === Access.None ? 'requests got 404' : 'callers needed a credential'
        }`,
      ),
    );
  const exposed = listMissing(base, next).flatMap(({ route, index }) => {
    const after = findAfter(route.host, route.pathPrefix);
    return accessOf(base, route) === Access.Closed && after?.isPublic === true
      ? [
          {
            ...create(
              ['routes', index],
              `anyone can call ${describePlace(route)} by route ${quote(after.name)}; before, callers needed a credential`,
            ),
            version: Version.Base,
          },
        ]
      : [];
  });
  return [...opened, ...exposed];
};

/** Warns of routes that anyone can call from now on. */
export const findOpenedRoutes = comparing((next, base) => [
  ...findAllOpened(next, base),
  ...findOpenedPlaces(next, base),
]);

/** Reports routes whose callers need a credential from now on. */
export const findClosedRoutes = comparing((next, base) => {
  const create = findingsOf(Severity.Difference, RuleName.RouteClosed);
  const findBefore = createFindRoute(base);
  const indices = indexRoutes(next);
  const places = next.routes.flatMap((route, index) =>
    indices.get(keyOfRoute(route)) === index &&
    accessOf(next, route) === Access.Closed &&
    accessOf(base, findBefore(route.host, route.pathPrefix)) === Access.Open
      ? [{ route, index }]
      : [],
  );
  if (!base.needsCredentials && places.length > 0) {
    return [
      create(
        ['needsCredentials'],
        `callers of ${countRoutes(places.length)} need a credential; others get 401`,
      ),
    ];
  }
  return places.map(({ route, index }) =>
    create(
      ['routes', index, 'isPublic'],
      `callers of ${describePlace(route)} need a credential; others get 401`,
    ),
  );
});
