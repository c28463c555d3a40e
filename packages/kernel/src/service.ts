/** @module Interface of a service and of its registration with the kernel. */

/** Returns the API of the service registered under `name`. */
export type Find<TDirectory> = <TName extends keyof TDirectory>(name: TName) => TDirectory[TName];

/** Calls that the kernel makes to a service. */
export interface ServiceBehaviour<TEvent, TEffect> {
  /** Effects to perform when the process starts. */
  readonly start: () => readonly TEffect[];
  /** Handles one event; returns the effects to perform. */
  readonly handle: (event: TEvent) => readonly TEffect[];
  /** Effects to perform when the drain phase reaches this service. */
  readonly drain: () => readonly TEffect[];
  /** Whether the service has no work left that a shutdown would interrupt. */
  readonly isDrained: () => boolean;
}

/** A running service: an API for other services, and the calls from the kernel. */
export interface ServiceInstance<TApi, TEvent, TEffect> extends ServiceBehaviour<TEvent, TEffect> {
  /** What other services get when they find this one by name. */
  readonly api: TApi;
}

/** Registration of the service with one given name. */
export interface NamedRegistration<TDirectory, TName extends keyof TDirectory, TEvent, TEffect> {
  /** Name by which other services find it. */
  readonly name: TName;
  /** Names of the services that must start before this one. */
  readonly requires: readonly (keyof TDirectory)[];
  /** Creates the service; `find` throws for names that are not in `requires`. */
  readonly create: (find: Find<TDirectory>) => ServiceInstance<TDirectory[TName], TEvent, TEffect>;
}

/** Registration of any service of a directory. */
export type ServiceRegistration<TDirectory, TEvent, TEffect> = {
  [TName in keyof TDirectory]: NamedRegistration<TDirectory, TName, TEvent, TEffect>;
}[keyof TDirectory];

/**
 * Creates a service instance with defaults for the kernel's calls that it does not implement.
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
