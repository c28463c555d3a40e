/** @module Limits retries, so that all gateways together stay within the operators' bound. */
import { createInstance } from '@ebonysill/kernel';
import { ServiceName, type FindService, type Registration } from './directory.js';
import GatewayShare from './GatewayShare.js';
import type { Runtime } from './runtime.js';
import SlidingCounter from './SlidingCounter.js';

/** Bound on the retries of all gateways together. */
export interface RetryBudgetBound {
  /** Retries for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries of all gateways in each window. */
  readonly extraCount: number;
}

/** Fraction of the bound that is used; the rest is for requests counted late or elsewhere. */
const SAFETY_FACTOR = 0.75;

interface ServiceCounters {
  readonly requests: SlidingCounter;
  readonly retries: SlidingCounter;
}

/** Counts requests and retries by service. */
class RetryBudgetService {
  readonly #counters = new Map<string, ServiceCounters>();

  readonly #share: GatewayShare;

  private constructor(
    private readonly runtime: Runtime,
    private readonly bound: RetryBudgetBound,
    find: FindService,
  ) {
    this.#share = GatewayShare.create(find(ServiceName.Members));
  }

  static create(runtime: Runtime, bound: RetryBudgetBound, find: FindService): RetryBudgetService {
    return new RetryBudgetService(runtime, bound, find);
  }

  readonly recordRequest = (service: string): void => {
    this.#countersOf(service).requests.add();
  };

  readonly tryConsume = (service: string): boolean => {
    const { requests, retries } = this.#countersOf(service);
    const { ratio, extraCount } = this.bound;
    const allowed = ratio * requests.count() + this.#share.of(extraCount);
    if (retries.count() + 1 > allowed * SAFETY_FACTOR) {
      return false;
    }
    retries.add();
    return true;
  };

  #countersOf(service: string): ServiceCounters {
    const known = this.#counters.get(service);
    if (known !== undefined) {
      return known;
    }
    const { nowMs } = this.runtime;
    const counters = {
      requests: SlidingCounter.create(this.bound.windowMs, nowMs),
      retries: SlidingCounter.create(this.bound.windowMs, nowMs),
    };
    this.#counters.set(service, counters);
    return counters;
  }
}

/**
 * Registers the service that limits retries.
 *
 * @example
 * retryBudgetRegistration(runtime, { ratio: 0.2, windowMs: 10_000, extraCount: 184 });
 */
export const retryBudgetRegistration = (
  runtime: Runtime,
  bound: RetryBudgetBound,
): Registration<ServiceName.RetryBudget> => ({
  name: ServiceName.RetryBudget,
  requires: [ServiceName.Members],
  create: (find) => {
    const service = RetryBudgetService.create(runtime, bound, find);
    return createInstance(
      { recordRequest: service.recordRequest, tryConsume: service.tryConsume },
      {},
    );
  },
});
