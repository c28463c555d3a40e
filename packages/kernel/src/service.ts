/** @module The shape of a service and of its registration with the kernel. */

/** Returns the API of the service registered under `name`. */
export type Find<TDirectory> = <TName extends keyof TDirectory>(name: TName) => TDirectory[TName];

/** What a service does besides offering its API. */
export interface ServiceBehaviour<TEvent, TEffect> {
  /** Effects to perform when the process starts. */
  readonly start: () => readonly TEffect[];
  /** Effects that answer one event. */
  readonly handle: (event: TEvent) => readonly TEffect[];
  /** Effects to perform when the drain phase reaches this service. */
  readonly drain: () => readonly TEffect[];
  /** Whether the service holds no work that a shutdown would cut off. */
  readonly isDrained: () => boolean;
}

/** A running service: an API for other services, and its answers to events. */
export interface ServiceInstance<TApi, TEvent, TEffect> extends ServiceBehaviour<TEvent, TEffect> {
  /** What other services call after finding this one by name. */
  readonly api: TApi;
}

/** How the service of one name registers. */
export interface NamedRegistration<TDirectory, TName extends keyof TDirectory, TEvent, TEffect> {
  /** Name that other services find it by. */
  readonly name: TName;
  /** Names of the services that must start before this one. */
  readonly requires: readonly (keyof TDirectory)[];
  /** Creates the service; `find` serves only the names in `requires`. */
  readonly create: (find: Find<TDirectory>) => ServiceInstance<TDirectory[TName], TEvent, TEffect>;
}

/** How any service registers. */
export type ServiceRegistration<TDirectory, TEvent, TEffect> = {
  [TName in keyof TDirectory]: NamedRegistration<TDirectory, TName, TEvent, TEffect>;
}[keyof TDirectory];

/**
 * Completes a service that answers only some of the kernel's calls.
 *
 * @example
 * const instance = createInstance(api, { handle: (event) => service.handle(event) });
 */
export const createInstance = <TApi, TEvent, TEffect>(
  api: TApi,
  behaviour: Partial<ServiceBehaviour<TEvent, TEffect>>,
): ServiceInstance<TApi, TEvent, TEffect> => ({
  api,
  start: () => [],
  handle: () => [],
  drain: () => [],
  isDrained: () => true,
  ...behaviour,
});
