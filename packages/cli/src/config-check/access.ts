/** @module What callers reach with a configuration, as gateways resolve it. */
import type { Organisation, PublishedConfiguration, Route } from '@ebonysill/gateway';

/** Whether callers of a route need a credential. */
export enum Access {
  /** No route matches; requests get 404. */
  None = 'none',
  /** Callers need a credential. */
  Closed = 'closed',
  /** Anyone may call. */
  Open = 'open',
}

/** Finds the route of requests to a host and path. */
export type FindRoute = (host: string, path: string) => Route | undefined;

/** Key under which a route is the same in two configurations. */
export const keyOfRoute = ({ host, pathPrefix }: Route): string =>
  JSON.stringify([host, pathPrefix]);

/** The routes that can match, by key; of several with the same key the first matches. */
export const indexRoutes = ({ routes }: PublishedConfiguration): ReadonlyMap<string, number> =>
  new Map(routes.map((route, index): [string, number] => [keyOfRoute(route), index]).reverse());

interface HostRoutes {
  readonly byPrefix: ReadonlyMap<string, Route>;
  /** Lengths of the prefixes, longest first. */
  readonly lengths: readonly number[];
}

const indexHost = (routes: readonly Route[]): HostRoutes => {
  // Reversed, because of several routes with the same prefix the first one matches.
  const byPrefix = new Map(
    routes.map((route): [string, Route] => [route.pathPrefix, route]).reverse(),
  );
  const lengths = new Set(routes.map(({ pathPrefix }) => pathPrefix.length));
  return { byPrefix, lengths: [...lengths].sort((left, right) => right - left) };
};

/**
 * Returns a function that finds the route with the longest prefix of a path. It looks up each length
 * once, because a comparison with each route takes minutes for the largest files.
 *
 * @example
 * createFindRoute(configuration)('app.example', '/lookup/x')?.name; // 'lookup'
 */
export const createFindRoute = ({ routes }: PublishedConfiguration): FindRoute => {
  const routesByHost = new Map<string, Route[]>();
  routes.forEach((route) => {
    const group = routesByHost.get(route.host) ?? [];
    group.push(route);
    routesByHost.set(route.host, group);
  });
  const hosts = new Map([...routesByHost].map(([host, group]) => [host, indexHost(group)]));
  return (host, path) => {
    const { byPrefix, lengths = [] } = hosts.get(host) ?? {};
    const length = lengths.find(
      (candidate) => candidate <= path.length && byPrefix?.has(path.slice(0, candidate)) === true,
    );
    return length === undefined ? undefined : byPrefix?.get(path.slice(0, length));
  };
};

/** Whether callers of a route need a credential. */
export const accessOf = (
  { needsCredentials }: PublishedConfiguration,
  route: Route | undefined,
): Access => {
  if (route === undefined) {
    return Access.None;
  }
  return route.isPublic || !needsCredentials ? Access.Open : Access.Closed;
};

/** Organisations by credential, as gateways index them: of several the last one counts. */
export const indexCredentials = ({
  organisations,
}: PublishedConfiguration): ReadonlyMap<string, Organisation> =>
  new Map(
    organisations.flatMap((organisation) =>
      organisation.credentials
        .filter((credential) => credential !== '')
        .map((credential): [string, Organisation] => [credential, organisation]),
    ),
  );
