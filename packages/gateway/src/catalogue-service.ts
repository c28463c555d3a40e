/** @module The operators' configuration in force; older versions are ignored. */
import { createInstance } from '@ebonysill/kernel';
import { log } from './build-effects.js';
import { ServiceName, type FindService, type Registration, type StoreApi } from './directory.js';
import { EffectKind, LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, ItemKind, ItemScope, type Event, type StoreItem } from './event.js';
import { NEVER, ageMsOf } from './moment.js';
import type {
  CallerLimits,
  Organisation,
  PublishedConfiguration,
  PublishedService,
  Route,
  RoutePattern,
  UnreadableItems,
} from './published.js';
import { boundedServiceOf } from './published.js';
import type { Runtime } from './runtime.js';

/** Fields that are logged of one version; the rest is counted. */
const MAX_LOGGED_FIELDS = 32;

/** A route, or one that cannot be read and is closed. */
interface RouteEntry extends RoutePattern {
  readonly route?: Route;
}

/** Options of the service; it uses the clock of `runtime`. */
export interface CatalogueOptions {
  readonly runtime: Runtime;
}

/** Indexes the configuration by host, credential and service name. */
class CatalogueService {
  #version = 0;

  #limits: CallerLimits | undefined;

  #needsCredentials = true;

  #isUnreadable = false;

  /** When the copy was last confirmed without a newer configuration that cannot be decoded. */
  #readableAt = NEVER;

  #unreadable: UnreadableItems | undefined;

  readonly #routesByHost = new Map<string, readonly RouteEntry[]>();

  readonly #organisations = new Map<string, Organisation>();

  readonly #services = new Map<string, PublishedService>();

  readonly #levelsByService = new Map<string, readonly number[]>();

  private constructor(
    private readonly runtime: Runtime,
    private readonly store: StoreApi,
  ) {}

  static create(runtime: Runtime, find: FindService): CatalogueService {
    return new CatalogueService(runtime, find(ServiceName.Store));
  }

  readonly version = (): number => this.#version;

  readonly limits = (): CallerLimits | undefined => this.#limits;

  readonly needsCredentials = (): boolean => this.#needsCredentials;

  readonly unreadableForMs = (): number =>
    this.#isUnreadable ? ageMsOf(this.runtime, this.#readableAt) : 0;

  readonly organisationOf = (credential: string): Organisation | undefined =>
    this.#organisations.get(credential);

  readonly hasUnreadableOrganisations = (): boolean => this.#unreadable?.hasOrganisations === true;

  readonly serviceOf = (name: string): PublishedService | undefined =>
    this.#services.get(name) ??
    (this.#unreadable?.hasUnnamedServices === true ? boundedServiceOf(name) : undefined);

  readonly priorityLevelsOf = (service: string): readonly number[] =>
    this.#levelsByService.get(service) ?? [];

  readonly routeOf = (host: string, path: string): Route | undefined =>
    this.#entryOf(host, path)?.route;

  readonly isClosed = (host: string, path: string): boolean => {
    const entry = this.#entryOf(host, path);
    return entry === undefined
      ? this.#unreadable?.hasUnplacedRoutes === true
      : entry.route === undefined;
  };

  handle(event: Event): readonly Effect[] {
    if (event.kind !== EventKind.StoreRead || this.store.wasRestored()) {
      return [];
    }
    const effects = event.items.flatMap((item) => this.#onItem(item));
    if (!this.#isUnreadable) {
      this.#readableAt = this.store.confirmedAt();
    }
    return effects;
  }

  #entryOf(host: string, path: string): RouteEntry | undefined {
    return this.#routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  #onItem(item: StoreItem): readonly Effect[] {
    if (item.scope !== ItemScope.Configuration) {
      return [];
    }
    if (item.kind === ItemKind.Unreadable) {
      this.#isUnreadable = true;
    }
    if (item.kind !== ItemKind.Configuration) {
      return [];
    }
    this.#isUnreadable = false;
    return item.configuration.version > this.#version ? this.#apply(item.configuration) : [];
  }

  #apply(configuration: PublishedConfiguration): readonly Effect[] {
    this.#version = configuration.version;
    this.#limits = configuration.limits;
    this.#unreadable = configuration.unreadable;
    this.#indexRoutes(configuration);
    this.#indexLevels(configuration.routes);
    this.#needsCredentials = configuration.needsCredentials;
    this.#indexOrganisations(configuration.organisations);
    this.#services.clear();
    configuration.services.forEach((service) => this.#services.set(service.name, service));
    return [
      { kind: EffectKind.ApplyLimits, limits: configuration.limits },
      log(LogLevel.Info, LogTopic.ConfigurationApplied, {
        version: configuration.version,
        count: configuration.routes.length,
        knowledgeAgeMs: Math.min(Math.round(this.store.ageMs()), Number.MAX_SAFE_INTEGER),
      }),
      ...this.#unreadableLines(),
    ];
  }

  #unreadableLines(): readonly Effect[] {
    const fields = this.#unreadable?.fields ?? [];
    const omittedCount = fields.length - MAX_LOGGED_FIELDS;
    return [
      ...fields
        .slice(0, MAX_LOGGED_FIELDS)
        .map((field) => log(LogLevel.Warn, LogTopic.FieldUnreadable, { ...field })),
      ...(omittedCount > 0
        ? [log(LogLevel.Warn, LogTopic.FieldUnreadable, { count: omittedCount, detail: 'others' })]
        : []),
    ];
  }

  /** An empty credential is what a caller without one may send, so it identifies nobody. */
  #indexOrganisations(organisations: readonly Organisation[]): void {
    this.#organisations.clear();
    organisations.forEach((organisation) =>
      organisation.credentials
        .filter((credential) => credential !== '')
        .forEach((credential) => this.#organisations.set(credential, organisation)),
    );
  }

  #indexLevels(routes: readonly Route[]): void {
    this.#levelsByService.clear();
    routes.forEach(({ services, priority }) =>
      services.forEach(({ service }) => {
        const levels = new Set([...this.priorityLevelsOf(service), priority]);
        this.#levelsByService.set(service, [...levels]);
      }),
    );
  }

  /** Longest prefix first, so that the first match is the longest; closed ones before open ones. */
  #indexRoutes({ routes, unreadable }: PublishedConfiguration): void {
    this.#routesByHost.clear();
    const entries: readonly RouteEntry[] = [
      ...(unreadable?.closedRoutes ?? []),
      ...routes.map((route) => ({ host: route.host, pathPrefix: route.pathPrefix, route })),
    ];
    const longestFirst = [...entries].sort(
      (left, right) => right.pathPrefix.length - left.pathPrefix.length,
    );
    longestFirst.forEach((entry) => {
      this.#routesByHost.set(entry.host, [...(this.#routesByHost.get(entry.host) ?? []), entry]);
    });
  }
}

/**
 * Registers the service that holds the configuration.
 *
 * @example
 * const services = [storeRegistration({ runtime }), catalogueRegistration({ runtime })];
 */
export const catalogueRegistration = ({
  runtime,
}: CatalogueOptions): Registration<ServiceName.Catalogue> => ({
  name: ServiceName.Catalogue,
  requires: [ServiceName.Store],
  create: (find) => {
    const service = CatalogueService.create(runtime, find);
    return createInstance(service, { handle: (event) => service.handle(event) });
  },
});
