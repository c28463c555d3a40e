/** @module Refuses requests that did not run, and tells their callers when to come back. */
import { createInstance } from '@ebonysill/kernel';
import {
  ServiceName,
  type AdmissionApi,
  type AdmissionResult,
  type FindService,
  type Registration,
  type RoutingApi,
  type StoreApi,
  type SuspectsApi,
} from '../directory.js';
import type { Effect } from '../effect.js';
import type { CallerRequest } from '../exchange-data.js';
import { deniedLine, endedLine } from '../exchange-log.js';
import { ExchangeOutcome, ExchangeReason, type Exchange } from '../exchange.js';
import { LocalStatus, localAnswer } from '../local-answers.js';
import type { Denial } from '../request-check.js';
import { DRAINING_RETRY_AFTER_MS, retryAfterMsOf, spreadRetryAfterMs } from '../retry-after.js';
import type { Runtime } from '../runtime.js';
import { endStateOf, storeAgeMsOf } from './end-state.js';

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface RefusalsOptions {
  readonly runtime: Runtime;
}

/** Why a request is refused, and when its caller may come back. */
interface Refusal {
  readonly reason: ExchangeReason;
  readonly retryAfterMs: number;
}

class RefusalsService {
  readonly #store: StoreApi;

  readonly #routing: RoutingApi;

  readonly #suspects: SuspectsApi;

  readonly #admission: AdmissionApi;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#store = find(ServiceName.Store);
    this.#routing = find(ServiceName.Routing);
    this.#suspects = find(ServiceName.Suspects);
    this.#admission = find(ServiceName.Admission);
  }

  static create(runtime: Runtime, find: FindService): RefusalsService {
    return new RefusalsService(runtime, find);
  }

  readonly deny = (
    exchangeId: number,
    { attemptId, remainingMs }: CallerRequest,
    { status, reason }: Denial,
  ): readonly Effect[] => {
    const retryAfterMs = status === LocalStatus.NotRun ? retryAfterMsOf(remainingMs) : undefined;
    return [
      localAnswer(exchangeId, status, reason, retryAfterMs),
      deniedLine(attemptId, status, reason, storeAgeMsOf(this.#store)),
    ];
  };

  readonly refuse = (
    exchange: Exchange,
    cause: ExchangeReason,
    admission?: AdmissionResult,
  ): readonly Effect[] => {
    const { reason, retryAfterMs } = this.#refusalOf(exchange, cause, admission);
    const end = { outcome: ExchangeOutcome.Refused, reason, status: LocalStatus.NotRun };
    const sources = { runtime: this.runtime, store: this.#store, admission: this.#admission };
    return [
      localAnswer(exchange.id, LocalStatus.NotRun, reason, retryAfterMs),
      endedLine(exchange, end, endStateOf(sources, exchange, admission)),
    ];
  };

  #refusalOf(
    exchange: Exchange,
    reason: ExchangeReason,
    admission: AdmissionResult | undefined,
  ): Refusal {
    if (reason === ExchangeReason.Draining) {
      return { reason, retryAfterMs: DRAINING_RETRY_AFTER_MS };
    }
    const barredForMs = this.#suspects.barredForMs(exchange);
    if (barredForMs > 0) {
      return { reason: ExchangeReason.CrashSuspect, retryAfterMs: barredForMs };
    }
    return admission === undefined
      ? this.#withoutTarget(exchange, reason)
      : { reason, retryAfterMs: admission.retryAfterMs };
  }

  #withoutTarget({ resolution, deadlineAtMs }: Exchange, reason: ExchangeReason): Refusal {
    const blockedForMs = this.#routing.blockedForMs(resolution.service);
    return blockedForMs > 0
      ? {
          reason: ExchangeReason.TargetsBlocked,
          retryAfterMs: spreadRetryAfterMs(blockedForMs, this.runtime.random()),
        }
      : { reason, retryAfterMs: retryAfterMsOf(deadlineAtMs - this.runtime.nowMs()) };
  }
}

/**
 * Registers the service that refuses requests.
 *
 * @example
 * const services = [routingRegistration(options), refusalsRegistration({ runtime })];
 */
export const refusalsRegistration = ({
  runtime,
}: RefusalsOptions): Registration<ServiceName.Refusals> => ({
  name: ServiceName.Refusals,
  requires: [ServiceName.Store, ServiceName.Routing, ServiceName.Suspects, ServiceName.Admission],
  create: (find) => {
    const { deny, refuse } = RefusalsService.create(runtime, find);
    return createInstance({ deny, refuse }, {});
  },
});
