/**
 * @module Starts admitted requests, in order and at the gateway's share, and holds those for which a
 * place comes free in time.
 *
 * Without decisions for a queue, a request starts at once or is refused.
 */
import { InvariantError, createInstance } from '@ebonysill/kernel';
import type { Demand, QueueDecisions } from '@ebonysill/scheduling';
import { clearTimer, setTimer } from '../build-effects.js';
import {
  ServiceName,
  type AdmissionApi,
  type ExchangesApi,
  type FindService,
  type LifecycleApi,
  type RefusalsApi,
  type Registration,
  type ReturnsApi,
  type StoreApi,
  type SuspectsApi,
  type ThroughputApi,
} from '../directory.js';
import type { Effect } from '../effect.js';
import { EventKind, type Event } from '../event.js';
import { endedLine, internalErrorLine } from '../exchange-log.js';
import {
  ExchangeOutcome,
  ExchangeReason,
  publishedPrioritiesOf,
  type Exchange,
} from '../exchange.js';
import { LocalStatus, localAnswer } from '../local-answers.js';
import type { PublishedTarget } from '../published.js';
import type { Runtime } from '../runtime.js';
import TimerKind from '../TimerKind.js';
import { endStateOf } from './end-state.js';
import PlaceFinder, {
  NO_TARGET,
  PLACE_SERVICES,
  type Obstacle,
  type ServiceState,
} from './PlaceFinder.js';
import PriorityRecords from './PriorityRecords.js';
import RequestQueue, { type WaitingRequest } from './RequestQueue.js';
import { WaitOutcome, type WaitTrace } from './wait-trace.js';

/** Options of the service; it uses the clock of `runtime`. */
export interface WaitingOptions {
  readonly runtime: Runtime;
  /** Decisions for requests that wait; absent when none does. */
  readonly queueDecisions?: QueueDecisions;
}

/**
 * Interval of the check while a request waits. Passes of a group take longer; with 72 targets, a check
 * takes about half a millisecond.
 */
const CHECK_INTERVAL_MS = 15;

/** A check may come this late; a request that is overdue by more is not served in time. */
const OVERDUE_TOLERANCE_MS = 10;

const TIMER_KEY = 0;

/** Usual time to an answer as a share of the objective, before the first answer. */
const UNKNOWN_USUAL_SHARE = 0.5;

/** Order of a request that has just come. */
const NOT_PLACED = -1;

class WaitingService {
  readonly #queue = RequestQueue.create();

  #isTimerSet = false;

  readonly #records: PriorityRecords;

  readonly #places: PlaceFinder;

  readonly #admission: AdmissionApi;

  readonly #suspects: SuspectsApi;

  readonly #throughput: ThroughputApi;

  readonly #returns: ReturnsApi;

  readonly #refusals: RefusalsApi;

  readonly #exchanges: ExchangesApi;

  readonly #lifecycle: LifecycleApi;

  readonly #store: StoreApi;

  private constructor(
    private readonly options: WaitingOptions,
    find: FindService,
  ) {
    this.#records = PriorityRecords.create(options.runtime.nowMs);
    this.#places = PlaceFinder.create(options.runtime, find);
    this.#admission = find(ServiceName.Admission);
    this.#suspects = find(ServiceName.Suspects);
    this.#throughput = find(ServiceName.Throughput);
    this.#returns = find(ServiceName.Returns);
    this.#refusals = find(ServiceName.Refusals);
    this.#exchanges = find(ServiceName.Exchanges);
    this.#lifecycle = find(ServiceName.Lifecycle);
    this.#store = find(ServiceName.Store);
  }

  static create(options: WaitingOptions, find: FindService): WaitingService {
    return new WaitingService(options, find);
  }

  readonly admit = (exchange: Exchange): readonly Effect[] => {
    const { queueDecisions } = this.options;
    return queueDecisions === undefined || this.#lifecycle.isDraining()
      ? this.#admitAtOnce(exchange)
      : this.#admitInOrder(exchange, queueDecisions);
  };

  handle(event: Event): readonly Effect[] {
    const { queueDecisions } = this.options;
    if (queueDecisions === undefined) {
      return [];
    }
    if (event.kind === EventKind.TimerFired && event.timer === TimerKind.QueueCheck) {
      this.#isTimerSet = false;
      return this.#serveAll(queueDecisions);
    }
    const left =
      event.kind === EventKind.CallerDisconnected ? this.#onCallerLeft(event.exchangeId) : [];
    return WaitingService.#mayFreePlace(event)
      ? [...left, ...this.#serveAll(queueDecisions)]
      : left;
  }

  static #mayFreePlace(event: Event): boolean {
    switch (event.kind) {
      case EventKind.TargetAnswerEnded:
      case EventKind.TargetCallFailed:
      case EventKind.CallerDisconnected:
        return true;
      default:
        return false;
    }
  }

  #admitAtOnce(exchange: Exchange): readonly Effect[] {
    const place = this.#places.find(exchange);
    return place.target === undefined
      ? this.#refusals.refuse(exchange, place.obstacle.reason, place.obstacle.admission)
      : this.#exchanges.start(exchange, place.target);
  }

  /** A new request is placed among those that wait, so that it does not overtake them. */
  #admitInOrder(exchange: Exchange, decisions: QueueDecisions): readonly Effect[] {
    this.#lifecycle.recordExchangeStart();
    this.#queue.set({
      exchange,
      demand: this.#demandOf(exchange, decisions),
      waitUntilMs: exchange.deadlineAtMs,
      aheadCount: NOT_PLACED,
    });
    const { service } = exchange.resolution;
    return [
      ...this.#serve(service, decisions),
      ...this.#refuseOverfull(service, decisions),
      ...this.#updateTimer(),
    ];
  }

  #demandOf(exchange: Exchange, decisions: QueueDecisions): Demand {
    const { id, request, resolution, receivedAtMs, deadlineAtMs } = exchange;
    const { route, organisation } = resolution;
    const usualMs =
      this.#throughput.usualAnswerMs(route.name) ?? route.objectiveMs * UNKNOWN_USUAL_SHARE;
    const slackMs =
      route.objectiveMs > 0 ? Math.max(0, route.objectiveMs - usualMs) : Number.POSITIVE_INFINITY;
    return {
      id,
      organisation: organisation?.name ?? '',
      priority: decisions.decidePriority(publishedPrioritiesOf(resolution)),
      returnKind: this.#returns.takeReturn(request),
      receivedAtMs,
      latestStartMs: receivedAtMs + slackMs,
      deadlineAtMs,
      size: { promptTokens: request.promptTokens, answerTokens: 0 },
    };
  }

  #serveAll(decisions: QueueDecisions): readonly Effect[] {
    return [
      ...this.#queue.services.flatMap((service) => this.#serve(service, decisions)),
      ...this.#updateTimer(),
    ];
  }

  /** Starts what can start, in order, and refuses what would start too late. */
  #serve(service: string, decisions: QueueDecisions): readonly Effect[] {
    if (this.#lifecycle.isDraining()) {
      return this.#refuseAll(service, WaitOutcome.Draining, { reason: ExchangeReason.Draining });
    }
    if (!this.#places.hasTargets(service)) {
      return this.#refuseAll(service, WaitOutcome.PoolLost, NO_TARGET);
    }
    const overdue = this.#refuseOverdue(service, decisions);
    const { effects, obstacle } = this.#startInOrder(service, decisions);
    return [...overdue, ...effects, ...this.#review(service, decisions, obstacle)];
  }

  #startInOrder(
    service: string,
    decisions: QueueDecisions,
  ): { readonly effects: readonly Effect[]; readonly obstacle: Obstacle } {
    const effects: Effect[] = [];
    let first = this.#firstOf(service, decisions);
    while (first !== undefined) {
      const { exchange } = first;
      try {
        const place = this.#places.findInShare(exchange, decisions);
        if (place.target === undefined) {
          return { effects, obstacle: place.obstacle };
        }
        effects.push(...this.#start(first, place.target));
      } catch (error) {
        effects.push(...this.#failByError(exchange, error));
      }
      first = this.#firstOf(service, decisions);
    }
    return { effects, obstacle: { reason: ExchangeReason.TooManyStreams } };
  }

  /** First request that does not leave its place to more urgent ones. */
  #firstOf(service: string, decisions: QueueDecisions): WaitingRequest | undefined {
    return this.#ordered(service, decisions).find(
      ({ demand }) =>
        !decisions.decideYield(this.#records.yieldQuestionOf(service, demand.priority)),
    );
  }

  #start(request: WaitingRequest, target: PublishedTarget): readonly Effect[] {
    const { exchange } = request;
    if (request.aheadCount !== NOT_PLACED) {
      exchange.recordWait(this.#traceOf(request, WaitOutcome.Started, request.aheadCount));
    }
    this.#remove(exchange);
    this.#places.recordStart(target);
    this.#records.recordStart(exchange.resolution.service, request.demand.priority);
    return this.#exchanges.start(exchange, target);
  }

  #failByError(exchange: Exchange, error: unknown): readonly Effect[] {
    if (error instanceof InvariantError) {
      throw error;
    }
    this.#remove(exchange);
    return [
      internalErrorLine(exchange.request.attemptId, error),
      localAnswer(exchange.id, LocalStatus.BadGateway, ExchangeReason.InternalError),
    ];
  }

  #ordered(service: string, { orderDemands }: QueueDecisions): readonly WaitingRequest[] {
    return orderDemands(this.#queue.of(service), {
      nowMs: this.options.runtime.nowMs(),
      startsOf: (organisation) => this.#throughput.startsOf(service, organisation),
    });
  }

  /** After the process was suspended, requests that are too late are refused before others start. */
  #refuseOverdue(service: string, decisions: QueueDecisions): readonly Effect[] {
    const nowMs = this.options.runtime.nowMs();
    return this.#ordered(service, decisions).flatMap((request, index) => {
      const { exchange, waitUntilMs } = request;
      if (this.#suspects.barredForMs(exchange) > 0) {
        this.#remove(exchange);
        return this.#refusals.refuse(exchange, ExchangeReason.CrashSuspect);
      }
      return waitUntilMs + OVERDUE_TOLERANCE_MS < nowMs
        ? this.#refuse(request, WaitOutcome.Expired, index, this.#places.obstacleOf(exchange))
        : [];
    });
  }

  /** Refuses the requests that cannot start in time behind those before them. */
  #review(service: string, decisions: QueueDecisions, obstacle: Obstacle): readonly Effect[] {
    const waiting = this.#ordered(service, decisions);
    if (waiting.length === 0) {
      return [];
    }
    const stateOf = WaitingService.#once(() => this.#places.stateOf(service, decisions));
    let aheadCount = 0;
    return waiting.flatMap((request) => {
      const outcome = this.#refusalOf(request, aheadCount, stateOf, decisions);
      if (outcome !== undefined) {
        return this.#refuse(request, outcome, aheadCount, obstacle);
      }
      aheadCount += 1;
      return [];
    });
  }

  /** Computes a state when it is asked for first; most checks need none. */
  static #once(compute: () => ServiceState): () => ServiceState {
    let state: ServiceState | undefined;
    return () => {
      state ??= compute();
      return state;
    };
  }

  /** Why a request may not wait on; records the place of one that may. */
  #refusalOf(
    request: WaitingRequest,
    aheadCount: number,
    stateOf: () => ServiceState,
    { decideWait }: QueueDecisions,
  ): WaitOutcome | undefined {
    const nowMs = this.options.runtime.nowMs();
    const isNew = request.aheadCount === NOT_PLACED;
    if (!isNew && request.waitUntilMs < nowMs + CHECK_INTERVAL_MS) {
      return WaitOutcome.Expired;
    }
    if (!isNew && aheadCount <= request.aheadCount) {
      return undefined;
    }
    const { service } = request.exchange.resolution;
    const { priority, receivedAtMs } = request.demand;
    const { startsPerSecond, blockedForMs } = stateOf();
    const { mayWait, waitUntilMs } = decideWait({
      demand: request.demand,
      objectiveMs: request.exchange.resolution.route.objectiveMs,
      nowMs,
      aheadCount,
      startsPerSecond,
      urgentWaitMs: this.#records.shortestWaitAbove(service, priority),
    });
    if (isNew) {
      this.#records.recordWait(service, priority, waitUntilMs - receivedAtMs);
    }
    if (!mayWait || nowMs + blockedForMs > waitUntilMs) {
      return isNew ? WaitOutcome.TooLate : WaitOutcome.Displaced;
    }
    if (isNew) {
      this.#queue.set({ ...request, aheadCount, waitUntilMs });
    }
    return undefined;
  }

  #refuseOverfull(service: string, decisions: QueueDecisions): readonly Effect[] {
    const waiting = this.#ordered(service, decisions);
    const last = waiting.at(-1);
    return this.#queue.isOverfull && last !== undefined
      ? this.#refuse(last, WaitOutcome.QueueFull, waiting.length - 1, NO_TARGET)
      : [];
  }

  #refuseAll(service: string, outcome: WaitOutcome, obstacle: Obstacle): readonly Effect[] {
    return this.#queue
      .of(service)
      .flatMap((request, index) => this.#refuse(request, outcome, index, obstacle));
  }

  #refuse(
    request: WaitingRequest,
    outcome: WaitOutcome,
    aheadCount: number,
    { reason, admission }: Obstacle,
  ): readonly Effect[] {
    const { exchange } = request;
    exchange.recordWait(this.#traceOf(request, outcome, aheadCount));
    this.#records.recordRefusal(exchange.resolution.service, request.demand.priority);
    this.#remove(exchange);
    return this.#refusals.refuse(exchange, reason, admission);
  }

  #traceOf({ exchange }: WaitingRequest, waitOutcome: WaitOutcome, aheadCount: number): WaitTrace {
    const { service } = exchange.resolution;
    return {
      waitOutcome,
      aheadCount,
      waitedMs: Math.round(this.options.runtime.nowMs() - exchange.receivedAtMs),
      waitingCount: this.#queue.of(service).length,
      endsPerSecond: this.#throughput.serviceEndsPerSecond(service),
      reportAgeMs: Math.round(this.#throughput.oldestReportMs()),
    };
  }

  #remove({ id }: Exchange): void {
    if (this.#queue.remove(id) !== undefined) {
      this.#lifecycle.recordExchangeEnd();
    }
  }

  #onCallerLeft(exchangeId: number): readonly Effect[] {
    const request = this.#queue.remove(exchangeId);
    if (request === undefined) {
      return [];
    }
    this.#lifecycle.recordExchangeEnd();
    const { runtime } = this.options;
    const sources = { runtime, store: this.#store, admission: this.#admission };
    const end = {
      outcome: ExchangeOutcome.Abandoned,
      reason: ExchangeReason.CallerDisconnected,
      status: 0,
    };
    return [endedLine(request.exchange, end, endStateOf(sources, request.exchange))];
  }

  /** A timer runs only while a request waits. */
  #updateTimer(): readonly Effect[] {
    const isWanted = this.#queue.size > 0;
    if (isWanted === this.#isTimerSet) {
      return [];
    }
    this.#isTimerSet = isWanted;
    return isWanted
      ? [setTimer(TimerKind.QueueCheck, TIMER_KEY, CHECK_INTERVAL_MS)]
      : [clearTimer(TimerKind.QueueCheck, TIMER_KEY)];
  }
}

/**
 * Registers the service that starts admitted requests.
 *
 * @example
 * const services = [exchangesRegistration(options), waitingRegistration({ runtime })];
 */
export const waitingRegistration = (
  options: WaitingOptions,
): Registration<ServiceName.Waiting> => ({
  name: ServiceName.Waiting,
  requires: [
    ...PLACE_SERVICES,
    ServiceName.Store,
    ServiceName.Suspects,
    ServiceName.Returns,
    ServiceName.Refusals,
    ServiceName.Exchanges,
    ServiceName.Lifecycle,
  ],
  create: (find) => {
    const service = WaitingService.create(options, find);
    return createInstance({ admit: service.admit }, { handle: (event) => service.handle(event) });
  },
});
