/** @module The operators' configuration in force; older versions are ignored. */
import { createInstance } from '@ebonysill/kernel';
import { log } from './build-effects.js';
import { ServiceName, type FindService, type Registration, type StoreApi } from './directory.js';
import { EffectKind, LogLevel, LogTopic, type Effect } from './effect.js';
import { EventKind, ItemKind, type Event, type StoreItem } from './event.js';
import type {
  CallerLimits,
  Organisation,
  PublishedConfiguration,
  PublishedService,
  Route,
} from './published.js';

/** Indexes the configuration by host, credential and service name. */
class CatalogueService {
  #version = 0;

  #limits: CallerLimits | undefined;

  readonly #routesByHost = new Map<string, readonly Route[]>();

  readonly #organisations = new Map<string, Organisation>();

  readonly #services = new Map<string, PublishedService>();

  private constructor(private readonly store: StoreApi) {}

  static create(find: FindService): CatalogueService {
    return new CatalogueService(find(ServiceName.Store));
  }

  readonly version = (): number => this.#version;

  readonly limits = (): CallerLimits | undefined => this.#limits;

  readonly needsCredentials = (): boolean => this.#organisations.size > 0;

  readonly organisationOf = (credential: string): Organisation | undefined =>
    this.#organisations.get(credential);

  readonly serviceOf = (name: string): PublishedService | undefined => this.#services.get(name);

  readonly routeOf = (host: string, path: string): Route | undefined =>
    this.#routesByHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));

  handle(event: Event): readonly Effect[] {
    return event.kind === EventKind.StoreRead && !this.store.wasRestored()
      ? event.items.flatMap((item) => this.#onItem(item))
      : [];
  }

  #onItem(item: StoreItem): readonly Effect[] {
    return item.kind === ItemKind.Configuration && item.configuration.version > this.#version
      ? this.#apply(item.configuration)
      : [];
  }

  #apply(configuration: PublishedConfiguration): readonly Effect[] {
    this.#version = configuration.version;
    this.#limits = configuration.limits;
    this.#indexRoutes(configuration.routes);
    this.#organisations.clear();
    configuration.organisations.forEach((organisation) =>
      organisation.credentials.forEach((credential) =>
        this.#organisations.set(credential, organisation),
      ),
    );
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
 * const services = [storeRegistration({ runtime }), catalogueRegistration()];
 */
const catalogueRegistration = (): Registration<ServiceName.Catalogue> => ({
  name: ServiceName.Catalogue,
  requires: [ServiceName.Store],
  create: (find) => {
    const service = CatalogueService.create(find);
    return createInstance(service, { handle: (event) => service.handle(event) });
  },
});

export default catalogueRegistration;
