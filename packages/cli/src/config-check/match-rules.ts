/** @module Rules for entries that no request can match or that have no effect. */
import { CallKind, type Route } from '@ebonysill/gateway';
import { RuleName, Severity, findingsOf, quote, type Finding, type FieldPath } from './finding.js';
import type { ConfigurationRule } from './rule.js';

/** Reports versions that gateways never apply: they start at 0 and apply only higher ones. */
export const findInvalidVersion: ConfigurationRule = ({ next: { version } }) =>
  Number.isSafeInteger(version) && version > 0
    ? []
    : [
        findingsOf(Severity.Error, RuleName.InvalidVersion)(
          ['version'],
          `${version} is not a positive integer; gateways never apply this version`,
        ),
      ];

const hostFaultOf = (host: string): string | undefined => {
  if (host === '') {
    return 'the host is empty; requests without a host are refused';
  }
  // Gateways remove the port from the host of a request before they compare it.
  if (/:\d+$/.test(host)) {
    return `${quote(host)} ends with a port; gateways compare hosts without a port`;
  }
  if (host.includes('*')) {
    return `${quote(host)} contains "*"; gateways compare hosts literally`;
  }
  return /[\s/@?#]/.test(host) ? `${quote(host)} is not a host name` : undefined;
};

/** Reports hosts that no request can have. */
export const findUnmatchedHosts: ConfigurationRule = ({ next: { routes } }) =>
  routes.flatMap(({ host }, index) => {
    const fault = hostFaultOf(host);
    return fault === undefined
      ? []
      : [findingsOf(Severity.Error, RuleName.UnmatchedHost)(['routes', index, 'host'], fault)];
  });

/** Reports path prefixes that no request can have. */
export const findUnmatchedPrefixes: ConfigurationRule = ({ next: { routes } }) =>
  routes.flatMap(({ pathPrefix }, index) =>
    pathPrefix === '' || /^\/[^\s#]*$/.test(pathPrefix)
      ? []
      : [
          findingsOf(Severity.Error, RuleName.UnmatchedPrefix)(
            ['routes', index, 'pathPrefix'],
            `${quote(pathPrefix)} matches no path; paths start with "/" and contain no space or "#"`,
          ),
        ],
  );

/**
 * Reports routes with the host and prefix of an earlier route. A longer prefix takes precedence over
 * a shorter one in any order, so nothing else hides a route.
 */
export const findHiddenRoutes: ConfigurationRule = ({ next: { routes } }) => {
  const firstNames = new Map<string, string>();
  return routes.flatMap(({ name, host, pathPrefix }, index) => {
    const key = JSON.stringify([host, pathPrefix]);
    const firstName = firstNames.get(key);
    if (firstName === undefined) {
      firstNames.set(key, name);
      return [];
    }
    return [
      findingsOf(Severity.Error, RuleName.HiddenRoute)(
        ['routes', index, 'pathPrefix'],
        `route ${quote(name)} never matches: route ${quote(firstName)} has the same host and prefix`,
      ),
    ];
  });
};

const hasService = ({ services }: Route): boolean => services.some(({ service }) => service !== '');

/** Reports routes that name no service: their requests are refused with 503. */
export const findRoutesWithoutService: ConfigurationRule = ({ next: { routes } }) =>
  routes.flatMap((route, index) =>
    hasService(route)
      ? []
      : [
          findingsOf(Severity.Error, RuleName.RouteWithoutService)(
            ['routes', index, 'services'],
            `route ${quote(route.name)} names no service; its requests are refused with 503`,
          ),
        ],
  );

/** Reports services of routes that the configuration does not list. */
export const findUnknownServices: ConfigurationRule = ({ next: { routes, services } }) => {
  const names = new Set(services.map(({ name }) => name));
  return routes.flatMap((route, index) =>
    route.services.flatMap(({ service }, position) =>
      !hasService(route) || names.has(service)
        ? []
        : [
            findingsOf(Severity.Warning, RuleName.UnknownService)(
              ['routes', index, 'services', position, 'service'],
              `service ${quote(service)} is not listed; its targets have no cold limit and no engine profile`,
            ),
          ],
    ),
  );
};

const findSplitFaults = ({ name, services }: Route, path: FieldPath): readonly Finding[] => {
  const weights = services.map(({ weight }) => weight);
  const faults = weights.flatMap((weight, index) => {
    const weightPath = [...path, index, 'weight'];
    if (weight < 0) {
      const text = `the weight ${weight} is negative; the shares of the route are undefined`;
      return [findingsOf(Severity.Error, RuleName.SplitWeight)(weightPath, text)];
    }
    const service = quote(services[index]?.service ?? '');
    return weight === 0
      ? [
          findingsOf(Severity.Warning, RuleName.SplitWeight)(
            weightPath,
            `service ${service} has the weight 0 and gets no request of this route`,
          ),
        ]
      : [];
  });
  return weights.length > 0 && weights.every((weight) => weight === 0)
    ? [
        findingsOf(Severity.Error, RuleName.SplitWeight)(
          path,
          `all weights of route ${quote(name)} are 0; its requests are refused with 503`,
        ),
      ]
    : faults;
};

/** Reports weights of traffic splits with which a service gets nothing. */
export const findSplitWeights: ConfigurationRule = ({ next: { routes } }) =>
  routes.flatMap((route, index) => findSplitFaults(route, ['routes', index, 'services']));

/** Reports services to which no route leads. */
export const findServicesWithoutRoute: ConfigurationRule = ({ next: { routes, services } }) => {
  const routed = new Set(routes.flatMap((route) => route.services.map(({ service }) => service)));
  return services.flatMap(({ name }, index) =>
    routed.has(name)
      ? []
      : [
          findingsOf(Severity.Warning, RuleName.ServiceWithoutRoute)(
            ['services', index, 'name'],
            `no route leads to service ${quote(name)}`,
          ),
        ],
  );
};

const findRepeatedIn = (
  section: string,
  items: readonly { readonly name: string }[],
  severity: Severity,
  effect: string,
): readonly Finding[] => {
  const names = new Set<string>();
  return items.flatMap(({ name }, index) => {
    if (!names.has(name)) {
      names.add(name);
      return [];
    }
    const text = `${quote(name)} is listed more than once; ${effect}`;
    return [findingsOf(severity, RuleName.RepeatedName)([section, index, 'name'], text)];
  });
};

/** Reports routes, services and organisations with the name of another. */
export const findRepeatedNames: ConfigurationRule = ({ next }) => [
  ...findRepeatedIn('routes', next.routes, Severity.Warning, 'their measurements are mixed'),
  ...findRepeatedIn('services', next.services, Severity.Error, 'gateways use the last one'),
  ...findRepeatedIn('organisations', next.organisations, Severity.Warning, 'they count as one'),
];

/** Reports fields that take effect only on streaming routes. */
export const findStreamOnlyFields: ConfigurationRule = ({ next: { routes } }) =>
  routes.flatMap(({ kind, maxPauseMs, isResumable }, index) => {
    const create = findingsOf(Severity.Warning, RuleName.StreamOnlyField);
    const text = 'the field has no effect on a route that is not streaming';
    return kind === CallKind.Streaming
      ? []
      : [
          ...(maxPauseMs > 0 ? [create(['routes', index, 'maxPauseMs'], text)] : []),
          ...(isResumable ? [create(['routes', index, 'isResumable'], text)] : []),
        ];
  });
