/** @module Checks callers' requests and passes on those that may be sent to a target. */
import { InvariantError, createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type FindService,
  type LifecycleApi,
  type RefusalsApi,
  type Registration,
  type RetryBudgetApi,
  type SuspectsApi,
  type WaitingApi,
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

  readonly #suspects: SuspectsApi;

  readonly #retryBudget: RetryBudgetApi;

  readonly #lifecycle: LifecycleApi;

  readonly #refusals: RefusalsApi;

  readonly #waiting: WaitingApi;

  private constructor(
    private readonly options: IntakeOptions,
    find: FindService,
  ) {
    this.#suspects = find(ServiceName.Suspects);
    this.#retryBudget = find(ServiceName.RetryBudget);
    this.#lifecycle = find(ServiceName.Lifecycle);
    this.#refusals = find(ServiceName.Refusals);
    this.#waiting = find(ServiceName.Waiting);
    this.#check = {
      catalogue: find(ServiceName.Catalogue),
      store: find(ServiceName.Store),
      peerKnowledge: find(ServiceName.PeerKnowledge),
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
    const remainingMs = exchange.deadlineAtMs - this.options.runtime.nowMs();
    if (!this.#lifecycle.mayBegin(exchange.isStream, remainingMs)) {
      return this.#refusals.refuse(exchange, ExchangeReason.Draining);
    }
    return this.#suspects.barredForMs(exchange) > 0
      ? this.#refusals.refuse(exchange, ExchangeReason.CrashSuspect)
      : this.#waiting.admit(exchange);
  }
}

/**
 * Registers the service that takes in new requests.
 *
 * @example
 * const services = [waitingRegistration(options), intakeRegistration({ runtime })];
 */
export const intakeRegistration = (options: IntakeOptions): Registration<ServiceName.Intake> => ({
  name: ServiceName.Intake,
  requires: [
    ServiceName.Store,
    ServiceName.Catalogue,
    ServiceName.PeerKnowledge,
    ServiceName.Suspects,
    ServiceName.RetryBudget,
    ServiceName.Lifecycle,
    ServiceName.Refusals,
    ServiceName.Waiting,
  ],
  create: (find) => {
    const service = IntakeService.create(options, find);
    return createInstance({}, { handle: (event) => service.handle(event) });
  },
});
