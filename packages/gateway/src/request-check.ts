/** @module Checks callers' requests and resolves each to a route, a service and an organisation. */
import { countMoreUrgent, priorityOf } from '@ebonysill/scheduling';
import type { CatalogueApi, PeerKnowledgeApi, StoreApi } from './directory.js';
import type { CallerRequest } from './exchange-data.js';
import { ExchangeReason, publishedPrioritiesOf, type Resolution } from './exchange.js';
import { LocalStatus } from './local-answers.js';
import type { Organisation, Route } from './published.js';

/** Whether a request may be sent to a target. */
export enum CheckVerdict {
  Allowed = 'allowed',
  Denied = 'denied',
}

/** Answer to a denied request. */
export interface Denial {
  readonly status: LocalStatus;
  readonly reason: ExchangeReason;
}

/** Resolution of an allowed request, or the answer to a denied one. */
export type CheckResult =
  | { readonly verdict: CheckVerdict.Allowed; readonly resolution: Resolution }
  | ({ readonly verdict: CheckVerdict.Denied } & Denial);

/** State against which requests are checked. */
export interface RequestCheck {
  readonly catalogue: CatalogueApi;
  readonly store: StoreApi;
  readonly peerKnowledge: PeerKnowledgeApi;
  /** Uniform in [0, 1); chooses among the services of a route. */
  readonly random: () => number;
}

/**
 * Maximum age of the store copy for accepting a credential, since it may have been revoked.
 * Operators allow 5 s from their change; one second is left for the target's queue and the network.
 */
export const MAX_CREDENTIAL_AGE_MS = 4_000;

/**
 * Maximum age of the store copy for answering that a route or credential does not exist. In calm the
 * age stays below twice the wait of a watch and the time of its answer.
 */
const MAX_DENIAL_AGE_MS = 2_900;

const deny = (status: LocalStatus, reason: ExchangeReason): CheckResult => ({
  verdict: CheckVerdict.Denied,
  status,
  reason,
});

const STALE = deny(LocalStatus.NotRun, ExchangeReason.StoreCopyStale);

const NO_ROUTE = deny(LocalStatus.NotFound, ExchangeReason.NoRoute);

const UNREADABLE = deny(LocalStatus.NotRun, ExchangeReason.ItemUnreadable);

const NO_ORGANISATION = deny(LocalStatus.Unauthorized, ExchangeReason.UnknownCredential);

const pickService = ({ services }: Route, random: () => number): string | undefined => {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  return services.find(({ weight }) => {
    left -= weight;
    return left < 0;
  })?.service;
};

const allow = (
  { catalogue, random }: RequestCheck,
  route: Route,
  organisation: Organisation | undefined,
): CheckResult => {
  const service = pickService(route, random);
  if (service === undefined) {
    return deny(LocalStatus.NotRun, ExchangeReason.NoTarget);
  }
  const published = { route, ...(organisation === undefined ? {} : { organisation }) };
  const priority = priorityOf(publishedPrioritiesOf(published));
  const moreUrgentLevels = countMoreUrgent(catalogue.priorityLevelsOf(service), priority);
  return {
    verdict: CheckVerdict.Allowed,
    resolution: { ...published, service, moreUrgentLevels },
  };
};

/** Age of what is known of the configuration in force: one that cannot be decoded adds nothing. */
const ageMsOf = ({ catalogue, store }: RequestCheck): number =>
  Math.max(store.ageMs(), catalogue.unreadableForMs());

const checkCredential = (
  check: RequestCheck,
  route: Route,
  credential: string | undefined,
): CheckResult => {
  const ageMs = ageMsOf(check);
  if (ageMs > MAX_CREDENTIAL_AGE_MS) {
    return STALE;
  }
  const organisation =
    credential === undefined ? undefined : check.catalogue.organisationOf(credential);
  if (organisation === undefined) {
    if (ageMs > MAX_DENIAL_AGE_MS) {
      return STALE;
    }
    return check.catalogue.hasUnreadableOrganisations() ? UNREADABLE : NO_ORGANISATION;
  }
  return allow(check, route, organisation);
};

/**
 * Resolves a request to a route, a service and an organisation.
 *
 * @example
 * checkRequest({ catalogue, store, random }, request).verdict;
 */
export const checkRequest = (check: RequestCheck, request: CallerRequest): CheckResult => {
  const { catalogue, peerKnowledge } = check;
  if (catalogue.version() === 0 || !peerKnowledge.isConfigurationCurrent()) {
    return deny(LocalStatus.NotRun, ExchangeReason.NotConfigured);
  }
  const route = catalogue.routeOf(request.host, request.path);
  if (route === undefined) {
    if (ageMsOf(check) > MAX_DENIAL_AGE_MS) {
      return STALE;
    }
    return catalogue.isClosed(request.host, request.path) ? UNREADABLE : NO_ROUTE;
  }
  return route.isPublic || !catalogue.needsCredentials()
    ? allow(check, route, undefined)
    : checkCredential(check, route, request.credential);
};
