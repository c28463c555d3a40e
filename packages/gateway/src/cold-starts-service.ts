/**
 * @module Limits the requests that a cold target gets.
 *
 * The limit applies to all gateways together, so each uses only its share of it.
 */
import { createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type CatalogueApi,
  type FindService,
  type Registration,
  type TargetsApi,
} from './directory.js';
import GatewayShare from './GatewayShare.js';
import type { PublishedTarget } from './published.js';
import type { Runtime } from './runtime.js';
import SlidingCounter from './SlidingCounter.js';

/** Options of the service; it uses the clock of `runtime`. */
export interface ColdStartsOptions {
  readonly runtime: Runtime;
}

const WINDOW_MS = 1_000;

/** Maximum number of counters; the oldest is evicted, since targets are replaced over time. */
const MAX_COUNTERS = 1_024;

/** Counts the requests sent to each target in the last second. */
class ColdStartsService {
  readonly #counters = new Map<string, SlidingCounter>();

  readonly #share: GatewayShare;

  readonly #catalogue: CatalogueApi;

  readonly #targets: TargetsApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#share = GatewayShare.create(find(ServiceName.Members));
    this.#catalogue = find(ServiceName.Catalogue);
    this.#targets = find(ServiceName.Targets);
  }

  static create(runtime: Runtime, find: FindService): ColdStartsService {
    return new ColdStartsService(runtime, find);
  }

  readonly mayStart = ({ instanceId, service }: PublishedTarget): boolean => {
    const perSecond = this.#catalogue.serviceOf(service)?.coldPerSecond ?? 0;
    if (perSecond === 0 || this.#targets.coldMsLeft(instanceId) === 0) {
      return true;
    }
    const sent = this.#counters.get(instanceId)?.count() ?? 0;
    return sent + 1 <= Math.max(1, this.#share.of(perSecond));
  };

  readonly recordStart = ({ instanceId }: PublishedTarget): void => {
    const counter =
      this.#counters.get(instanceId) ?? SlidingCounter.create(WINDOW_MS, this.runtime.nowMs);
    this.#counters.delete(instanceId);
    this.#counters.set(instanceId, counter);
    counter.add();
    const [oldest] = this.#counters.keys();
    if (this.#counters.size > MAX_COUNTERS && oldest !== undefined) {
      this.#counters.delete(oldest);
    }
  };
}

/**
 * Registers the service that limits requests to cold targets.
 *
 * @example
 * const services = [targetsRegistration({ runtime }), coldStartsRegistration({ runtime })];
 */
export const coldStartsRegistration = ({
  runtime,
}: ColdStartsOptions): Registration<ServiceName.ColdStarts> => ({
  name: ServiceName.ColdStarts,
  requires: [ServiceName.Members, ServiceName.Catalogue, ServiceName.Targets],
  create: (find) => {
    const service = ColdStartsService.create(runtime, find);
    return createInstance({ mayStart: service.mayStart, recordStart: service.recordStart }, {});
  },
});
