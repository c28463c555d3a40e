/** @module Forwards each admitted request to a target and returns the answer. */
import { InvariantError, createInstance } from '@ebonysill/kernel';
import type { DecidePriority } from '@ebonysill/scheduling';
import {
  isFailure,
  isFinalStatus,
  isFull,
  isLiveStream,
  isSuccess,
  promisesNotRun,
} from './answer-status.js';
import { clearTimer, setTimer } from './build-effects.js';
import buildTargetCall from './buildTargetCall.js';
import CallAccounting, { ACCOUNTING_SERVICES } from './CallAccounting.js';
import {
  ServiceName,
  type AdmissionApi,
  type AnswerMemoryApi,
  type FindService,
  type LifecycleApi,
  type RefusalsApi,
  type Registration,
  type RetriesApi,
  type RoutingApi,
  type StoreApi,
  type SuspectsApi,
} from './directory.js';
import { EffectKind, type Effect } from './effect.js';
import {
  EventKind,
  type Event,
  type TargetCallFailedEvent,
  type TargetCheckedEvent,
  type TimerFiredEvent,
} from './event.js';
import { CallStage, type TargetHead } from './exchange-data.js';
import { MAX_EVENT_BYTES, type StreamEvent } from './event-splitter.js';
import {
  callFailedLine,
  endedLine,
  internalErrorLine,
  servedWith,
  type ExchangeEnd,
} from './exchange-log.js';
import { AnswerProgress, Exchange, ExchangeOutcome, ExchangeReason } from './exchange.js';
import { endStateOf } from './intake/end-state.js';
import type { IsStalled } from './is-stalled.js';
import { LocalStatus, localAnswer } from './local-answers.js';
import type { PublishedTarget } from './published.js';
import type { Runtime } from './runtime.js';
import { TargetResultKind } from './target-result.js';
import TimerKind from './TimerKind.js';

/** Options of the service; it uses the clock and the random numbers of `runtime`. */
export interface ExchangesOptions {
  readonly runtime: Runtime;
  /** Decides whether a stream is resumed at another target. */
  readonly isStalled: IsStalled;
  /** Decides the priority of calls to targets; absent when targets use their own. */
  readonly decidePriority?: DecidePriority;
}

/** Interval of the check for stalled streams; callers leave two seconds after the last event. */
const STALL_CHECK_INTERVAL_MS = 200;

/** Failed connections of one request after which no further target is tried. */
const MAX_UNREACHABLE_TARGETS = 3;

class ExchangesService {
  readonly #exchanges = new Map<number, Exchange>();

  readonly #exchangeOfCall = new Map<number, Exchange>();

  /** By exchange whose call was interrupted: the target that is checked before the retry. */
  readonly #checkedTargets = new Map<number, string>();

  #nextCallId = 1;

  readonly #store: StoreApi;

  readonly #routing: RoutingApi;

  readonly #refusals: RefusalsApi;

  readonly #suspects: SuspectsApi;

  readonly #admission: AdmissionApi;

  readonly #retries: RetriesApi;

  readonly #lifecycle: LifecycleApi;

  readonly #accounting: CallAccounting;

  readonly #answerMemory: AnswerMemoryApi;

  private constructor(
    private readonly options: ExchangesOptions,
    find: FindService,
  ) {
    this.#store = find(ServiceName.Store);
    this.#routing = find(ServiceName.Routing);
    this.#refusals = find(ServiceName.Refusals);
    this.#suspects = find(ServiceName.Suspects);
    this.#admission = find(ServiceName.Admission);
    this.#retries = find(ServiceName.Retries);
    this.#lifecycle = find(ServiceName.Lifecycle);
    this.#answerMemory = find(ServiceName.AnswerMemory);
    this.#accounting = CallAccounting.create(options.runtime, find);
  }

  static create(options: ExchangesOptions, find: FindService): ExchangesService {
    return new ExchangesService(options, find);
  }

  readonly start = (exchange: Exchange, target: PublishedTarget): readonly Effect[] => {
    this.#exchanges.set(exchange.id, exchange);
    this.#lifecycle.recordExchangeStart();
    const leftMs = Math.max(0, exchange.deadlineAtMs - this.options.runtime.nowMs());
    return this.#guard(exchange.id, () => [
      setTimer(TimerKind.RequestDeadline, exchange.id, leftMs),
      ...this.#call(exchange, target),
    ]);
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.CallerDisconnected:
        return this.#onCallerDisconnected(event.exchangeId);
      case EventKind.CallerBehind:
        return this.#onCallerBehind(event.exchangeId);
      case EventKind.CallerCaughtUp:
        return this.#onCallerCaughtUp(event.exchangeId);
      case EventKind.TargetHeadReceived:
        return this.#withExchange(event.callId, (exchange) => this.#onHead(exchange, event.head));
      case EventKind.TargetDataReceived:
        return this.#withExchange(event.callId, (exchange) => this.#onData(exchange, event.data));
      case EventKind.TargetAnswerEnded:
        return this.#withExchange(event.callId, (exchange) => this.#onEnd(exchange));
      case EventKind.TargetCallFailed:
        return this.#withExchange(event.callId, (exchange) => this.#onCallFailed(exchange, event));
      case EventKind.TargetChecked:
        return this.#onTargetChecked(event);
      case EventKind.TimerFired:
        return this.#onTimer(event);
      default:
        return [];
    }
  }

  static scheduleStallCheck(): Effect {
    return setTimer(TimerKind.StallCheck, 0, STALL_CHECK_INTERVAL_MS);
  }

  #onTimer({ timer, key }: TimerFiredEvent): readonly Effect[] {
    switch (timer) {
      case TimerKind.RequestDeadline:
        return this.#onDeadline(key);
      case TimerKind.DrainEnd:
        return this.#lifecycle.isEnding() ? this.#failUnanswered() : [];
      case TimerKind.StallCheck:
        return [ExchangesService.scheduleStallCheck(), ...this.#resumeStalled()];
      default:
        return [];
    }
  }

  /** Ignores events of calls that were cancelled meanwhile. */
  #withExchange(
    callId: number,
    handler: (exchange: Exchange) => readonly Effect[],
  ): readonly Effect[] {
    const exchange = this.#exchangeOfCall.get(callId);
    return exchange === undefined ? [] : this.#guard(exchange.id, () => handler(exchange));
  }

  /** Ends an exchange whose handler fails, so that the others go on. */
  #guard(exchangeId: number, handler: () => readonly Effect[]): readonly Effect[] {
    try {
      return handler();
    } catch (error) {
      if (error instanceof InvariantError) {
        throw error;
      }
      const exchange = this.#exchanges.get(exchangeId);
      return exchange === undefined
        ? [internalErrorLine(undefined, error)]
        : [
            internalErrorLine(exchange.request.attemptId, error),
            ...this.#cancelCall(exchange),
            ...this.#fail(exchange, ExchangeReason.InternalError),
          ];
    }
  }

  /** Calls a target that has not been tried; refuses or fails the request when there is none. */
  #callNextTarget(exchange: Exchange, reasonIfNone: ExchangeReason): readonly Effect[] {
    const target = this.#retries.choose(exchange);
    return target === undefined
      ? this.#refuseOrFail(exchange, reasonIfNone)
      : this.#call(exchange, target);
  }

  #call(exchange: Exchange, target: PublishedTarget): readonly Effect[] {
    const callId = this.#nextCallId;
    this.#nextCallId += 1;
    exchange.recordCall(callId, target, this.#routing.poolOf(target));
    this.#exchangeOfCall.set(callId, exchange);
    const announcements = this.#accounting.recordStart(exchange, target);
    const { decidePriority } = this.options;
    const call = buildTargetCall({
      exchange,
      target,
      nowMs: this.options.runtime.nowMs(),
      decidePriority,
    });
    return [
      ...this.#answerMemory.begin(exchange.id, callId),
      { kind: EffectKind.StartCall, callId, call },
      ...announcements,
    ];
  }

  /** Detaches the exchange from its call, which no longer counts as load or as a running stream. */
  #endCall(exchange: Exchange): void {
    const { callId, target } = exchange;
    if (callId === undefined || target === undefined) {
      return;
    }
    this.#exchangeOfCall.delete(callId);
    this.#accounting.recordEnd(exchange, target);
    exchange.clearCall();
  }

  #cancelCall(exchange: Exchange): readonly Effect[] {
    const { callId } = exchange;
    this.#endCall(exchange);
    return callId === undefined ? [] : [{ kind: EffectKind.CancelCall, callId }];
  }

  #onHead(exchange: Exchange, head: TargetHead): readonly Effect[] {
    const isStale = head.attemptId !== undefined && head.attemptId !== exchange.request.attemptId;
    if (isStale) {
      return this.#interrupt(exchange, 'the answer belongs to another request');
    }
    if (!isFinalStatus(head.status)) {
      return this.#interrupt(exchange, `the answer has status ${head.status}`);
    }
    exchange.recordHead(head);
    return [
      ...this.#accounting.recordHead(exchange, head),
      ...(exchange.isCallerBehind ? ExchangesService.#pauseCall(exchange) : []),
    ];
  }

  #onData(exchange: Exchange, data: Uint8Array): readonly Effect[] {
    const { head, splitter } = exchange;
    if (head === undefined) {
      return [];
    }
    if (!isLiveStream(head)) {
      return this.#keepBlock(exchange, head, data);
    }
    const isFirst = exchange.progress !== AnswerProgress.Events;
    const events = splitter.push(data).filter((event) => this.#isNew(exchange, event));
    const effects =
      events.length === 0
        ? []
        : [
            ...(isFirst ? this.#suspects.recordAnswered(exchange) : []),
            ...ExchangesService.#beginAnswer(exchange, head),
            ExchangesService.#continueAnswer(exchange, events),
          ];
    return exchange.idleBytes + splitter.pendingBytes > MAX_EVENT_BYTES
      ? [...effects, ...this.#interrupt(exchange, 'the stream has no new event within the limit')]
      : effects;
  }

  static #continueAnswer({ id }: Exchange, events: readonly StreamEvent[]): Effect {
    const data = Buffer.concat(events.map((event) => event.data));
    return { kind: EffectKind.ContinueAnswer, exchangeId: id, data };
  }

  /** Keeps bytes of an answer that is delivered when it is complete. */
  #keepBlock(exchange: Exchange, head: TargetHead, data: Uint8Array): readonly Effect[] {
    const { id, callId = 0, body } = exchange;
    body.push(data);
    const { isTooLarge, isWaiting, effects } = this.#answerMemory.addBlock(
      id,
      callId,
      data.length,
      head.announcedBytes,
    );
    if (isWaiting) {
      this.#accounting.recordAnswerWaits(exchange);
    }
    return isTooLarge ? this.#interrupt(exchange, 'the answer exceeds the maximum size') : effects;
  }

  /** Cancels a call whose answer cannot be used. */
  #interrupt(exchange: Exchange, detail: string): readonly Effect[] {
    return [
      ...this.#cancelCall(exchange),
      ...this.#onCallInterrupted(exchange, ExchangeReason.CallInterrupted, detail),
    ];
  }

  /** Whether an event is to be delivered; false for one that the caller has already. */
  #isNew(exchange: Exchange, event: StreamEvent): boolean {
    const isRepeated = event.id !== undefined && event.id === exchange.lastEventId;
    if (isRepeated || !event.hasContent) {
      exchange.recordIdleBytes(event.data.length);
    } else {
      this.#accounting.recordProgress(exchange, event);
    }
    return !isRepeated;
  }

  /** A stream that is resumed at another target keeps the head sent for the first one. */
  static #beginAnswer(exchange: Exchange, { status, headers }: TargetHead): readonly Effect[] {
    return exchange.markAnswerBegun()
      ? [{ kind: EffectKind.BeginAnswer, exchangeId: exchange.id, status, headers }]
      : [];
  }

  #onEnd(exchange: Exchange): readonly Effect[] {
    const { head, splitter } = exchange;
    this.#endCall(exchange);
    if (head === undefined) {
      return this.#onCallInterrupted(
        exchange,
        ExchangeReason.CallInterrupted,
        'the answer has no head',
      );
    }
    if (head.isNotRun) {
      return this.#onNotRun(exchange, head);
    }
    if (head.endsWithConnection && isSuccess(head.status) && !exchange.hasContent) {
      return this.#onConnectionLost(exchange, 'the connection ends before the answer begins');
    }
    if (!isLiveStream(head)) {
      return this.#onCompleteAnswer(exchange, head);
    }
    if (splitter.pendingBytes > 0) {
      return this.#onConnectionLost(exchange, 'the stream ends within an event');
    }
    return [
      ...(isSuccess(head.status) ? this.#suspects.recordCompleted(exchange) : []),
      ...ExchangesService.#beginAnswer(exchange, head),
      { kind: EffectKind.EndAnswer, exchangeId: exchange.id },
      ...this.#finish(exchange, servedWith(head.status)),
    ];
  }

  /** Delivers an answer that is no live stream, or retries when another target may succeed. */
  #onCompleteAnswer(exchange: Exchange, head: TargetHead): readonly Effect[] {
    const { status, isSigned, headers } = head;
    if (exchange.isAnswerBegun || (isSuccess(status) && !isSigned)) {
      return this.#onCallInterrupted(
        exchange,
        ExchangeReason.CallInterrupted,
        'the answer is unsigned or does not continue the stream',
      );
    }
    exchange.recordAttempt();
    if (isFailure(status)) {
      this.#accounting.recordFailure(exchange, TargetResultKind.Failed);
    } else {
      this.#accounting.recordAnswered(exchange);
    }
    const retried = isFailure(status) ? this.#retry(exchange) : undefined;
    if (retried !== undefined) {
      return [
        callFailedLine(exchange, ExchangeReason.TargetFailed, `status ${status}`),
        ...retried,
      ];
    }
    if (promisesNotRun(status)) {
      return this.#fail(exchange, ExchangeReason.TargetFailed);
    }
    this.#accounting.recordAnswerTime(exchange);
    this.#answerMemory.markSent(exchange.id);
    return [
      ...(isSuccess(status)
        ? [...this.#suspects.recordAnswered(exchange), ...this.#suspects.recordCompleted(exchange)]
        : []),
      {
        kind: EffectKind.SendAnswer,
        exchangeId: exchange.id,
        status,
        headers,
        body: [...exchange.body],
      },
      ...this.#finish(exchange, servedWith(status)),
    ];
  }

  /** The target proved that it did not run the request, so any kind of call may be retried. */
  #onNotRun(exchange: Exchange, head: TargetHead): readonly Effect[] {
    exchange.recordRejection();
    if (isFull(head)) {
      this.#accounting.recordFailure(exchange, TargetResultKind.Full);
    }
    const target = this.#retries.takeAfterRejection(exchange);
    return [
      callFailedLine(
        exchange,
        ExchangeReason.NotRunByTarget,
        `status ${head.status} from ${head.faultyInstanceId ?? exchange.target?.instanceId ?? ''}`,
      ),
      ...(target === undefined
        ? this.#refuseOrFail(exchange, ExchangeReason.NotRunByTarget)
        : this.#call(exchange, target)),
    ];
  }

  #onCallFailed(exchange: Exchange, { stage, detail }: TargetCallFailedEvent): readonly Effect[] {
    this.#endCall(exchange);
    const { target } = exchange;
    if (stage === CallStage.Sent) {
      return this.#onConnectionLost(exchange, detail);
    }
    this.#avoid(exchange);
    this.#accounting.recordFailure(exchange, TargetResultKind.Failed);
    exchange.recordUnreachable();
    const lines = [
      callFailedLine(exchange, ExchangeReason.TargetUnreachable, detail),
      ...this.#suspects.recordUnreachable(target?.instanceId ?? ''),
    ];
    return exchange.unreachableCount < MAX_UNREACHABLE_TARGETS && this.#retries.hasTime(exchange)
      ? [...lines, ...this.#callNextTarget(exchange, ExchangeReason.TargetUnreachable)]
      : [...lines, ...this.#refuseOrFail(exchange, ExchangeReason.TargetUnreachable)];
  }

  /** The target may have run the request, but its answer is incomplete or invalid. */
  #onCallInterrupted(
    exchange: Exchange,
    reason: ExchangeReason,
    detail: string,
  ): readonly Effect[] {
    return [
      ...this.#recordInterruption(exchange, reason, detail),
      ...(this.#retry(exchange) ?? this.#fail(exchange, reason)),
    ];
  }

  /**
   * The target closed the connection. If it has crashed, the request may crash the next one too; a retry
   * of one whose answer had not begun waits until the target has been checked.
   */
  #onConnectionLost(exchange: Exchange, detail: string): readonly Effect[] {
    const { target, progress } = exchange;
    if (target === undefined) {
      return this.#onCallInterrupted(exchange, ExchangeReason.CallInterrupted, detail);
    }
    const checks = this.#suspects.recordInterrupted(exchange, target);
    const hasBegun = progress === AnswerProgress.Events;
    if (hasBegun || !this.#suspects.hasUnansweredSegment(exchange)) {
      return [
        ...checks,
        ...this.#onCallInterrupted(exchange, ExchangeReason.CallInterrupted, detail),
      ];
    }
    this.#checkedTargets.set(exchange.id, target.instanceId);
    return [
      ...this.#recordInterruption(exchange, ExchangeReason.CallInterrupted, detail),
      ...checks,
    ];
  }

  #onTargetChecked({ instanceId, reachability }: TargetCheckedEvent): readonly Effect[] {
    const waiting = [...this.#checkedTargets].flatMap(([exchangeId, checkedId]) => {
      const exchange = checkedId === instanceId ? this.#exchanges.get(exchangeId) : undefined;
      return exchange === undefined ? [] : [exchange];
    });
    return [
      ...this.#suspects.recordChecked(instanceId, reachability),
      ...waiting.flatMap((exchange) => this.#guard(exchange.id, () => this.#onChecked(exchange))),
    ];
  }

  #onChecked(exchange: Exchange): readonly Effect[] {
    this.#checkedTargets.delete(exchange.id);
    return this.#retry(exchange) ?? this.#fail(exchange, this.#reasonOf(exchange));
  }

  #reasonOf(exchange: Exchange): ExchangeReason {
    return this.#suspects.barredForMs(exchange) > 0
      ? ExchangeReason.CrashSuspect
      : ExchangeReason.CallInterrupted;
  }

  #recordInterruption(
    exchange: Exchange,
    reason: ExchangeReason,
    detail: string,
  ): readonly Effect[] {
    exchange.recordAttempt();
    this.#avoid(exchange);
    this.#accounting.recordFailure(exchange, TargetResultKind.Failed);
    return [callFailedLine(exchange, reason, detail)];
  }

  #avoid({ target }: Exchange): void {
    if (target !== undefined) {
      this.#routing.avoid(target.instanceId);
    }
  }

  /** Calls another target after one that may have run the request; undefined if not allowed. */
  #retry(exchange: Exchange): readonly Effect[] | undefined {
    const target = this.#retries.takeAfterRun(exchange);
    return target === undefined ? undefined : this.#call(exchange, target);
  }

  /** Resumes stalled streams elsewhere; one that cannot be resumed keeps its call. */
  #resumeStalled(): readonly Effect[] {
    return [...this.#exchangeOfCall.values()]
      .filter((exchange) => this.#hasStalled(exchange))
      .flatMap((exchange) => this.#resume(exchange));
  }

  #hasStalled({ pool, lastCallEventAtMs, groupEventCount, isCallerBehind }: Exchange): boolean {
    return (
      lastCallEventAtMs !== undefined &&
      !isCallerBehind &&
      this.options.isStalled({
        silentMs: this.options.runtime.nowMs() - lastCallEventAtMs,
        groupEventCount: this.#admission.eventCountOf(pool) - groupEventCount,
        passMs: this.#admission.passMsOf(pool),
      })
    );
  }

  #resume(exchange: Exchange): readonly Effect[] {
    const target = this.#retries.takeAfterStall(exchange);
    if (target === undefined) {
      return [];
    }
    const line = callFailedLine(exchange, ExchangeReason.Stalled, 'others of its group go on');
    exchange.recordAttempt();
    this.#accounting.recordFailure(exchange, TargetResultKind.Failed);
    return [line, ...this.#cancelCall(exchange), ...this.#call(exchange, target)];
  }

  #onDeadline(exchangeId: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    exchange.markAbandoned();
    if (exchange.callId !== undefined && exchange.progress === AnswerProgress.None) {
      this.#accounting.recordFailure(exchange, TargetResultKind.Failed);
    }
    return [
      ...this.#cancelCall(exchange),
      ...this.#fail(exchange, ExchangeReason.DeadlinePassed, LocalStatus.Timeout),
    ];
  }

  /** Answers what would end without an answer when the process stops; streams go on until then. */
  #failUnanswered(): readonly Effect[] {
    return [...this.#exchanges.values()]
      .filter(({ isAnswerBegun }) => !isAnswerBegun)
      .flatMap((exchange) => {
        exchange.markAbandoned();
        return [...this.#cancelCall(exchange), ...this.#fail(exchange, ExchangeReason.Draining)];
      });
  }

  static #pauseCall({ callId }: Exchange): readonly Effect[] {
    return callId === undefined ? [] : [{ kind: EffectKind.PauseCall, callId }];
  }

  /** Reads no further event from the target until the caller has taken those it has. */
  #onCallerBehind(exchangeId: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    exchange.recordCallerBehind();
    return ExchangesService.#pauseCall(exchange);
  }

  #onCallerCaughtUp(exchangeId: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    exchange?.recordCallerCaughtUp(this.options.runtime.nowMs());
    const callId = exchange?.callId;
    return callId === undefined ? [] : [{ kind: EffectKind.ResumeCall, callId }];
  }

  #onCallerDisconnected(exchangeId: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    return exchange === undefined
      ? []
      : [
          ...this.#cancelCall(exchange),
          ...this.#finish(exchange, {
            outcome: ExchangeOutcome.Abandoned,
            reason: ExchangeReason.CallerDisconnected,
            status: 0,
          }),
        ];
  }

  /** Refuses a request that did not run, and fails one that may have. */
  #refuseOrFail(exchange: Exchange, reason: ExchangeReason): readonly Effect[] {
    if (exchange.mayHaveRun) {
      return this.#fail(exchange, reason);
    }
    return [...this.#refusals.refuse(exchange, reason), ...this.#remove(exchange)];
  }

  #fail(
    exchange: Exchange,
    reason: ExchangeReason,
    status: LocalStatus = LocalStatus.BadGateway,
  ): readonly Effect[] {
    const answer: Effect = exchange.isAnswerBegun
      ? { kind: EffectKind.AbortAnswer, exchangeId: exchange.id }
      : localAnswer(exchange.id, status, reason);
    return [answer, ...this.#finish(exchange, { outcome: ExchangeOutcome.Failed, reason, status })];
  }

  #finish(exchange: Exchange, end: ExchangeEnd): readonly Effect[] {
    const sources = {
      runtime: this.options.runtime,
      store: this.#store,
      admission: this.#admission,
    };
    return [...this.#remove(exchange), endedLine(exchange, end, endStateOf(sources, exchange))];
  }

  /** Forgets an exchange that has ended. */
  #remove({ id }: Exchange): readonly Effect[] {
    this.#exchanges.delete(id);
    this.#checkedTargets.delete(id);
    this.#lifecycle.recordExchangeEnd();
    return [clearTimer(TimerKind.RequestDeadline, id), ...this.#answerMemory.end(id)];
  }
}

/**
 * Registers the service that handles exchanges.
 *
 * @example
 * const services = [routingRegistration(options), exchangesRegistration({ runtime })];
 */
export const exchangesRegistration = (
  options: ExchangesOptions,
): Registration<ServiceName.Exchanges> => ({
  name: ServiceName.Exchanges,
  requires: [
    ServiceName.Store,
    ...ACCOUNTING_SERVICES,
    ServiceName.Refusals,
    ServiceName.Retries,
    ServiceName.Lifecycle,
    ServiceName.AnswerMemory,
  ],
  create: (find) => {
    const service = ExchangesService.create(options, find);
    return createInstance(
      { start: service.start },
      {
        start: () => [ExchangesService.scheduleStallCheck()],
        handle: (event) => service.handle(event),
      },
    );
  },
});
