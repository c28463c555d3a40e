/** @module Checks and admits callers' requests; exchanges take over those that have a target. */
import { InvariantError, createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type ExchangesApi,
  type FindService,
  type LifecycleApi,
  type RefusalsApi,
  type Registration,
  type RetriesApi,
  type RetryBudgetApi,
  type RoutingApi,
  type SuspectsApi,
} from '../directory.js';
import type { Effect } from '../effect.js';
import { EventKind, type Event, type RequestReceivedEvent } from '../event.js';
import { internalErrorLine } from '../exchange-log.js';
import { Exchange, ExchangeReason } from '../exchange.js';
import { LocalStatus, localAnswer } from '../local-answers.js';
import { CheckVerdict, checkRequest, type RequestCheck } from '../request-check.js';
import type { Runtime } from '../runtime.js';

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface IntakeOptions {
  readonly runtime: Runtime;
}

class IntakeService {
  readonly #check: RequestCheck;

  readonly #routing: RoutingApi;

  readonly #suspects: SuspectsApi;

  readonly #retryBudget: RetryBudgetApi;

  readonly #retries: RetriesApi;

  readonly #lifecycle: LifecycleApi;

  readonly #refusals: RefusalsApi;

  readonly #exchanges: ExchangesApi;

  private constructor(
    private readonly options: IntakeOptions,
    find: FindService,
  ) {
    this.#routing = find(ServiceName.Routing);
    this.#suspects = find(ServiceName.Suspects);
    this.#retryBudget = find(ServiceName.RetryBudget);
    this.#retries = find(ServiceName.Retries);
    this.#lifecycle = find(ServiceName.Lifecycle);
    this.#refusals = find(ServiceName.Refusals);
    this.#exchanges = find(ServiceName.Exchanges);
    this.#check = {
      catalogue: find(ServiceName.Catalogue),
      store: find(ServiceName.Store),
      random: options.runtime.random,
    };
  }

  static create(options: IntakeOptions, find: FindService): IntakeService {
    return new IntakeService(options, find);
  }

  handle(event: Event): readonly Effect[] {
    return event.kind === EventKind.RequestReceived ? this.#guard(event) : [];
  }

  /** Answers a request whose check fails by an error, so that the others go on. */
  #guard(event: RequestReceivedEvent): readonly Effect[] {
    try {
      return this.#onRequest(event);
    } catch (error) {
      if (error instanceof InvariantError) {
        throw error;
      }
      return [
        internalErrorLine(event.request.attemptId, error),
        localAnswer(event.exchangeId, LocalStatus.BadGateway, ExchangeReason.InternalError),
      ];
    }
  }

  #onRequest({ exchangeId, request }: RequestReceivedEvent): readonly Effect[] {
    const result = checkRequest(this.#check, request);
    if (result.verdict === CheckVerdict.Denied) {
      return this.#refusals.deny(exchangeId, request, result);
    }
    const { resolution } = result;
    this.#retryBudget.recordRequest(resolution.service);
    const nowMs = this.options.runtime.nowMs();
    return this.#admit(Exchange.create(exchangeId, request, resolution, nowMs));
  }

  #admit(exchange: Exchange): readonly Effect[] {
    const refusal = this.#routing.refusalOf(exchange);
    const remainingMs = exchange.deadlineAtMs - this.options.runtime.nowMs();
    if (!this.#lifecycle.mayBegin(exchange.isStream, remainingMs)) {
      return this.#refusals.refuse(exchange, ExchangeReason.Draining);
    }
    if (this.#suspects.barredForMs(exchange) > 0) {
      return this.#refusals.refuse(exchange, ExchangeReason.CrashSuspect);
    }
    if (refusal !== undefined) {
      return this.#refusals.refuse(exchange, ExchangeReason.TooManyStreams, refusal);
    }
    const target = this.#retries.choose(exchange);
    return target === undefined
      ? this.#refusals.refuse(exchange, ExchangeReason.NoTarget)
      : this.#exchanges.start(exchange, target);
  }
}

/**
 * Registers the service that takes in new requests.
 *
 * @example
 * const services = [exchangesRegistration(options), intakeRegistration({ runtime })];
 */
export const intakeRegistration = (options: IntakeOptions): Registration<ServiceName.Intake> => ({
  name: ServiceName.Intake,
  requires: [
    ServiceName.Store,
    ServiceName.Catalogue,
    ServiceName.Routing,
    ServiceName.Suspects,
    ServiceName.RetryBudget,
    ServiceName.Retries,
    ServiceName.Lifecycle,
    ServiceName.Refusals,
    ServiceName.Exchanges,
  ],
  create: (find) => {
    const service = IntakeService.create(options, find);
    return createInstance({}, { handle: (event) => service.handle(event) });
  },
});
