/**
 * @module Limits retries, so that all gateways together stay within the operators' bound.
 *
 * A gateway that starts counts as spent what the gateway that spent most took from its share of the
 * additional retries: the process that ran here before may have taken as much, and nobody else
 * knows.
 */
import { createInstance } from '@ebonysill/kernel';
import { ServiceName, type FindService, type Registration } from './directory.js';
import { EventKind, type Event } from './event.js';
import GatewayShare from './GatewayShare.js';
import { PeerMessageKind, type ServiceCount } from './peer-message.js';
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
  /** Retries of other gateways that count against the share of this one after its start. */
  readonly reported: SlidingCounter;
}

/** Counts requests and retries by service. */
class RetryBudgetService {
  readonly #counters = new Map<string, ServiceCounters>();

  readonly #share: GatewayShare;

  readonly #startedAtMs: number;

  private constructor(
    private readonly runtime: Runtime,
    private readonly bound: RetryBudgetBound,
    find: FindService,
  ) {
    this.#share = GatewayShare.create(find(ServiceName.Members));
    this.#startedAtMs = runtime.nowMs();
  }

  static create(runtime: Runtime, bound: RetryBudgetBound, find: FindService): RetryBudgetService {
    return new RetryBudgetService(runtime, bound, find);
  }

  readonly recordRequest = (service: string): void => {
    this.#countersOf(service).requests.add();
  };

  readonly tryConsume = (service: string): boolean => {
    const { requests, retries, reported } = this.#countersOf(service);
    const { ratio, extraCount } = this.bound;
    const allowed = ratio * requests.count() + this.#share.of(extraCount);
    if (retries.count() + reported.count() + 1 > allowed * SAFETY_FACTOR) {
      return false;
    }
    retries.add();
    return true;
  };

  readonly spentByService = (): readonly ServiceCount[] =>
    [...this.#counters].flatMap(([serviceName, { requests, retries }]) => {
      const earned = this.bound.ratio * requests.count() * SAFETY_FACTOR;
      const count = Math.ceil(retries.count() - earned);
      return count > 0 ? [{ serviceName, count }] : [];
    });

  handle(event: Event): void {
    const isStart = this.runtime.nowMs() - this.#startedAtMs < this.bound.windowMs;
    if (
      isStart &&
      event.kind === EventKind.PeerMessageReceived &&
      event.message.kind === PeerMessageKind.StartState
    ) {
      event.message.spentRetries.forEach((spent) => this.#recordReported(spent));
    }
  }

  /** Counts up to the highest report; no more than the share, whatever a peer says. */
  #recordReported({ serviceName, count }: ServiceCount): void {
    const { reported } = this.#countersOf(serviceName);
    const share = Math.ceil(this.#share.of(this.bound.extraCount));
    const missing = Math.min(count, share) - reported.count();
    if (missing > 0) {
      reported.add(missing);
    }
  }

  #countersOf(service: string): ServiceCounters {
    const known = this.#counters.get(service);
    if (known !== undefined) {
      return known;
    }
    const { nowMs } = this.runtime;
    const counters = {
      requests: SlidingCounter.create(this.bound.windowMs, nowMs),
      retries: SlidingCounter.create(this.bound.windowMs, nowMs),
      reported: SlidingCounter.create(this.bound.windowMs, nowMs),
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
    const { recordRequest, tryConsume, spentByService } = service;
    return createInstance(
      { recordRequest, tryConsume, spentByService },
      {
        handle: (event) => {
          service.handle(event);
          return [];
        },
      },
    );
  },
});
