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
} from './published.js';
import type { Runtime } from './runtime.js';

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

  readonly #routesByHost = new Map<string, readonly Route[]>();

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

  readonly serviceOf = (name: string): PublishedService | undefined => this.#services.get(name);

  readonly priorityLevelsOf = (service: string): readonly number[] =>
    this.#levelsByService.get(service) ?? [];

  readonly routeOf = (host: string, path: string): Route | undefined =>
    this.#routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));

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
    this.#indexRoutes(configuration.routes);
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

  /** Longest prefix first, so that the first match is the longest. */
  #indexRoutes(routes: readonly Route[]): void {
    this.#routesByHost.clear();
    const longestFirst = [...routes].sort(
      (left, right) => right.pathPrefix.length - left.pathPrefix.length,
    );
    longestFirst.forEach((route) => {
      this.#routesByHost.set(route.host, [...(this.#routesByHost.get(route.host) ?? []), route]);
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
