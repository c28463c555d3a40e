/** @module Decides whether and where a request is sent to a further target. */
import { createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type FindService,
  type Registration,
  type RetryBudgetApi,
  type RoutingApi,
  type SuspectsApi,
} from './directory.js';
import { isRetryable, type Exchange } from './exchange.js';
import type { PublishedTarget } from './published.js';
import type { Runtime } from './runtime.js';

/** Minimum remaining time for another call; no target could answer in less. */
const MIN_RETRY_TIME_MS = 50;

/** Options of the service; it uses the clock of `runtime`. */
export interface RetriesOptions {
  readonly runtime: Runtime;
}

const mayRunAgain = ({ resolution: { route } }: Exchange, attemptCount: number): boolean =>
  isRetryable(route) && attemptCount < route.maxAttempts;

class RetriesService {
  readonly #routing: RoutingApi;

  readonly #suspects: SuspectsApi;

  readonly #retryBudget: RetryBudgetApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#routing = find(ServiceName.Routing);
    this.#suspects = find(ServiceName.Suspects);
    this.#retryBudget = find(ServiceName.RetryBudget);
  }

  static create(runtime: Runtime, find: FindService): RetriesService {
    return new RetriesService(runtime, find);
  }

  readonly hasTime = ({ deadlineAtMs }: Exchange): boolean =>
    deadlineAtMs - this.runtime.nowMs() > MIN_RETRY_TIME_MS;

  readonly choose = (exchange: Exchange): PublishedTarget | undefined =>
    this.#suspects.barredForMs(exchange) > 0 ? undefined : this.#routing.choose(exchange);

  readonly takeAfterRun = (exchange: Exchange): PublishedTarget | undefined =>
    mayRunAgain(exchange, exchange.attemptCount) ? this.#take(exchange) : undefined;

  readonly takeAfterStall = (exchange: Exchange): PublishedTarget | undefined =>
    mayRunAgain(exchange, exchange.attemptCount + 1) ? this.#take(exchange) : undefined;

  readonly takeAfterRejection = (exchange: Exchange): PublishedTarget | undefined => {
    const { maxAttempts } = exchange.resolution.route;
    return exchange.attemptCount <= Math.max(1, maxAttempts - 1) ? this.#take(exchange) : undefined;
  };

  /** Takes a retry out of the budget if there is time and a target for it. */
  #take(exchange: Exchange): PublishedTarget | undefined {
    const target = this.hasTime(exchange) ? this.choose(exchange) : undefined;
    return target !== undefined && this.#retryBudget.tryConsume(exchange.resolution.service)
      ? target
      : undefined;
  }
}

/**
 * Registers the service that decides on retries.
 *
 * @example
 * const services = [routingRegistration(options), retriesRegistration({ runtime })];
 */
export const retriesRegistration = ({
  runtime,
}: RetriesOptions): Registration<ServiceName.Retries> => ({
  name: ServiceName.Retries,
  requires: [ServiceName.Routing, ServiceName.Suspects, ServiceName.RetryBudget],
  create: (find) => {
    const service = RetriesService.create(runtime, find);
    const { hasTime, choose, takeAfterRun, takeAfterStall, takeAfterRejection } = service;
    return createInstance(
      { hasTime, choose, takeAfterRun, takeAfterStall, takeAfterRejection },
      {},
    );
  },
});
