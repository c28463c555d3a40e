/** @module Refuses requests that did not run, and tells their callers when to come back. */
import { createInstance } from '@ebonysill/kernel';
import {
  RefusalScope,
  decideReturnMs,
  decideScope,
  type QueueDecisions,
} from '@ebonysill/scheduling';
import {
  ServiceName,
  type AdmissionApi,
  type AdmissionResult,
  type CopiesApi,
  type FindService,
  type MembersApi,
  type Registration,
  type ReturnsApi,
  type RoutingApi,
  type StoreApi,
  type SuspectsApi,
  type ThroughputApi,
  type ToldReturn,
} from '../directory.js';
import type { Effect } from '../effect.js';
import type { CallerRequest } from '../exchange-data.js';
import { deniedLine, endedLine } from '../exchange-log.js';
import { ExchangeOutcome, ExchangeReason, type Exchange } from '../exchange.js';
import { LocalStatus, localAnswer } from '../local-answers.js';
import type { Denial } from '../request-check.js';
import { PeerRole } from '../peer-message.js';
import { DEFAULT_REMAINING_MS, retryAfterMsOf, spreadRetryAfterMs } from '../retry-after.js';
import type { Runtime } from '../runtime.js';
import { endStateOf, storeAgeMsOf } from './end-state.js';

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface RefusalsOptions {
  readonly runtime: Runtime;
  /** Decides the delay of callers for which the fleet has no place; by default a fixed one. */
  readonly queueDecisions?: Pick<QueueDecisions, 'decideFleetReturnMs'>;
}

/** Why a request is refused, and when its caller may come back. */
interface Refusal extends ToldReturn {
  readonly reason: ExchangeReason;
}

/** Whom a cause concerns that lies with the gateway, and the spread of its delay in [0, 1). */
interface GatewayCause {
  readonly scope: RefusalScope;
  readonly random: number;
}

/** Callers of a gateway that drains come one after another, so that their delays need no spread. */
const DRAINING: GatewayCause = { scope: RefusalScope.Gateway, random: 0 };

const fleetWide = (reason: ExchangeReason, retryAfterMs: number): Refusal => ({
  reason,
  scope: RefusalScope.Fleet,
  retryAfterMs,
});

class RefusalsService {
  readonly #store: StoreApi;

  readonly #routing: RoutingApi;

  readonly #suspects: SuspectsApi;

  readonly #admission: AdmissionApi;

  readonly #copies: CopiesApi;

  readonly #returns: ReturnsApi;

  readonly #members: MembersApi;

  readonly #throughput: ThroughputApi;

  private constructor(
    private readonly options: RefusalsOptions,
    find: FindService,
  ) {
    this.#store = find(ServiceName.Store);
    this.#routing = find(ServiceName.Routing);
    this.#suspects = find(ServiceName.Suspects);
    this.#admission = find(ServiceName.Admission);
    this.#copies = find(ServiceName.Copies);
    this.#returns = find(ServiceName.Returns);
    this.#members = find(ServiceName.Members);
    this.#throughput = find(ServiceName.Throughput);
  }

  static create(options: RefusalsOptions, find: FindService): RefusalsService {
    return new RefusalsService(options, find);
  }

  private get runtime(): Runtime {
    return this.options.runtime;
  }

  readonly deny = (
    exchangeId: number,
    request: CallerRequest,
    denial: Denial,
  ): readonly Effect[] => {
    const told = denial.status === LocalStatus.NotRun ? this.#toldOf(request, denial) : undefined;
    return [
      localAnswer(exchangeId, denial.status, denial.reason, told?.retryAfterMs),
      deniedLine(request.attemptId, denial, storeAgeMsOf(this.#store), told),
    ];
  };

  readonly refuse = (
    exchange: Exchange,
    cause: ExchangeReason,
    admission?: AdmissionResult,
  ): readonly Effect[] => {
    const { reason, ...told } = this.#refusalOf(exchange, cause, admission);
    const end = { outcome: ExchangeOutcome.Refused, reason, status: LocalStatus.NotRun };
    const sources = { runtime: this.runtime, store: this.#store, admission: this.#admission };
    return [
      localAnswer(exchange.id, LocalStatus.NotRun, reason, told.retryAfterMs),
      endedLine(exchange, end, { ...endStateOf(sources, exchange, admission), told }),
    ];
  };

  /** What the caller of a request is told that is refused before it is resolved. */
  #toldOf(request: CallerRequest, { reason }: Denial): ToldReturn {
    switch (reason) {
      case ExchangeReason.StoreCopyStale:
      case ExchangeReason.NotConfigured: {
        const scope = decideScope(this.#copies.others());
        const { remainingMs = DEFAULT_REMAINING_MS } = request;
        return this.#sendBack(request, remainingMs, { scope, random: this.runtime.random() });
      }
      default:
        return { scope: RefusalScope.Fleet, retryAfterMs: retryAfterMsOf(request.remainingMs) };
    }
  }

  /** Sends a caller to another gateway, or back when the fleet has recovered. */
  #sendBack(request: CallerRequest, remainingMs: number, cause: GatewayCause): ToldReturn {
    const { scope, random } = cause;
    const refusalCount = this.#returns.find(request)?.localCount ?? 0;
    const fleetDelayMs = retryAfterMsOf(remainingMs);
    const retryAfterMs = decideReturnMs({ scope, fleetDelayMs, refusalCount, random });
    if (scope === RefusalScope.Gateway) {
      const nowMs = this.runtime.nowMs();
      this.#returns.record(request, {
        localCount: refusalCount + 1,
        dueAtMs: nowMs + retryAfterMs,
        expiresAtMs: nowMs + remainingMs,
      });
    }
    return { scope, retryAfterMs };
  }

  #refusalOf(
    exchange: Exchange,
    reason: ExchangeReason,
    admission: AdmissionResult | undefined,
  ): Refusal {
    const { request, deadlineAtMs } = exchange;
    if (reason === ExchangeReason.Draining) {
      const remainingMs = deadlineAtMs - this.runtime.nowMs();
      return { reason, ...this.#sendBack(request, remainingMs, DRAINING) };
    }
    const barredForMs = this.#suspects.barredForMs(exchange);
    if (barredForMs > 0) {
      return fleetWide(ExchangeReason.CrashSuspect, barredForMs);
    }
    const blockedForMs =
      admission === undefined ? this.#routing.blockedForMs(exchange.resolution.service) : 0;
    if (blockedForMs > 0) {
      const retryAfterMs = spreadRetryAfterMs(blockedForMs, this.runtime.random());
      return fleetWide(ExchangeReason.TargetsBlocked, retryAfterMs);
    }
    return this.#isShort(reason)
      ? fleetWide(reason, this.#untilPlaceMs(exchange, admission?.passMs))
      : fleetWide(
          reason,
          admission?.retryAfterMs ?? retryAfterMsOf(deadlineAtMs - this.runtime.nowMs()),
        );
  }

  /** Whether the delay follows from the rate at which places come free. */
  #isShort(reason: ExchangeReason): boolean {
    return (
      this.options.queueDecisions !== undefined &&
      (reason === ExchangeReason.TooManyStreams ||
        reason === ExchangeReason.NoTarget ||
        reason === ExchangeReason.NotRunByTarget)
    );
  }

  /** Time until there is a place, for those who are due before and then for this caller. */
  #untilPlaceMs(exchange: Exchange, passMs = this.#admission.passMsOf(exchange.pool)): number {
    const { request, resolution, deadlineAtMs, wait } = exchange;
    const { service } = resolution;
    const nowMs = this.runtime.nowMs();
    const remainingMs = deadlineAtMs - nowMs;
    const retryAfterMs =
      this.options.queueDecisions?.decideFleetReturnMs({
        dueCount: this.#returns.dueCount(service),
        waitingCount: wait?.waitingCount ?? 0,
        gatewayCount: this.#members.others(PeerRole.Gateway).length + 1,
        endsPerSecond: this.#throughput.serviceEndsPerSecond(service),
        passMs,
        remainingMs,
        random: this.runtime.random(),
      }) ?? retryAfterMsOf(remainingMs);
    const localCount = this.#returns.find(request)?.localCount ?? 0;
    const dueAtMs = nowMs + retryAfterMs;
    this.#returns.record(request, { service, localCount, dueAtMs, expiresAtMs: deadlineAtMs });
    return retryAfterMs;
  }
}

/**
 * Registers the service that refuses requests.
 *
 * @example
 * const services = [routingRegistration(options), refusalsRegistration({ runtime })];
 */
export const refusalsRegistration = (
  options: RefusalsOptions,
): Registration<ServiceName.Refusals> => ({
  name: ServiceName.Refusals,
  requires: [
    ServiceName.Store,
    ServiceName.Routing,
    ServiceName.Suspects,
    ServiceName.Admission,
    ServiceName.Copies,
    ServiceName.Returns,
    ServiceName.Members,
    ServiceName.Throughput,
  ],
  create: (find) => {
    const { deny, refuse } = RefusalsService.create(options, find);
    return createInstance({ deny, refuse }, {});
  },
});
