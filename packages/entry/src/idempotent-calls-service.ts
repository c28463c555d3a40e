/** @module Serves idempotent calls: attempts, retries, hedges, continued streams. */
import {
  Admission,
  EffectKind,
  EventKind,
  LogLevel,
  LogTopic,
  MessageKind,
  Outcome,
  Reason,
  ServiceName,
  TimerKind,
  generateId,
  notRun,
  unknown,
  type Call,
  type IdempotentCallsApi,
  type Effect,
  type Event,
  type FindService,
  type LinkMessageEvent,
  type Peer,
  type Problem,
  type Registration,
  type RunChunkMessage,
  type RunHeadMessage,
  type Runtime,
} from '@ebonysill/core';
import { clearTimer, log, send, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import ExchangeTable from './ExchangeTable.js';
import { answerEnd, answerProblem, logRequestEnded } from './answers.js';
import { Delivery, IdempotentExchange, type Attempt } from './idempotent-exchange.js';
import { buildRunMessage } from './run-message.js';

/**
 * Time from the first attempt to the hedge, a second attempt. It starts only if no answer has begun,
 * one attempt is in progress, a target is available and the retry budget allows it.
 */
const HEDGE_DELAY_MS = 300;

/** Options of {@link idempotentCallsRegistration}. */
export interface IdempotentCallsOptions {
  readonly runtime: Runtime;
}

const NO_TARGET = notRun(Reason.NoTarget, 'no target could take the request in time');

const QUEUE_TIMEOUT = notRun(Reason.QueueTimeout, 'the request waited too long for its turn');

const LINK_LOST = unknown(Reason.LinkLost, 'the link to the target was lost');

const ANSWER_INCOMPLETE = unknown(Reason.StreamCut, 'part of the answer was lost');

const ANSWER_NOT_CONTINUED = unknown(
  Reason.TargetFailed,
  'the next target did not continue the answer',
);

class IdempotentCallsService {
  readonly #exchanges = ExchangeTable.create<IdempotentExchange>();

  readonly #admission;

  readonly #routing;

  readonly #links;

  readonly #suspects;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#admission = find(ServiceName.Admission);
    this.#routing = find(ServiceName.Routing);
    this.#links = find(ServiceName.Links);
    this.#suspects = find(ServiceName.Suspects);
  }

  static create(options: IdempotentCallsOptions, find: FindService): IdempotentCallsService {
    return new IdempotentCallsService(options.runtime, find);
  }

  readonly api: IdempotentCallsApi = {
    begin: (call) => this.#begin(call),
    startAdmitted: (exchangeIds) => this.#startAdmitted(exchangeIds),
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.LinkMessage:
        return this.#onMessage(event);
      case EventKind.LinkClosed:
        return this.#onLinkClosed(event.linkId);
      case EventKind.CallerFlushed:
        return this.#onFlushed(event.exchangeId, event.chunkCount);
      case EventKind.CallerDisconnected:
        return this.#onCallerDisconnected(event.exchangeId);
      case EventKind.Timer:
        return this.#onTimer(event.timer, event.key);
      default:
        return [];
    }
  }

  isDrained(): boolean {
    return this.#exchanges.size === 0;
  }

  #begin(call: Call): readonly Effect[] {
    const { exchangeId, organisation, event } = call;
    const exchange = IdempotentExchange.create(call);
    const decision = this.#admission.admit({
      exchangeId,
      organisation,
      priority: event.priority,
      timeLeftMs: call.deadlineAtMs - this.runtime.nowMs(),
    });
    switch (decision.kind) {
      case Admission.Admitted:
        this.#exchanges.add(exchange);
        return [this.#deadlineTimer(call), ...this.#attempt(exchange)];
      case Admission.Queued:
        this.#exchanges.add(exchange);
        return [
          this.#deadlineTimer(call),
          setTimer(TimerKind.QueueTimeout, exchangeId, decision.maxWaitMs),
        ];
      case Admission.Refused:
        return answerProblem(call, decision.problem, this.runtime.nowMs());
      default:
        return decision satisfies never;
    }
  }

  #deadlineTimer(call: Call): Effect {
    const delayMs = call.deadlineAtMs - this.runtime.nowMs();
    return setTimer(TimerKind.RequestDeadline, call.exchangeId, delayMs);
  }

  #onTimer(timer: TimerKind, exchangeId: string): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    switch (timer) {
      case TimerKind.QueueTimeout:
        return this.#finish(exchange, QUEUE_TIMEOUT);
      case TimerKind.RetryDelay:
        exchange.clearFailedTargets();
        return this.#attempt(exchange);
      case TimerKind.Hedge:
        return this.#hedge(exchange);
      case TimerKind.RequestDeadline:
        return this.#onDeadline(exchange);
      default:
        return [];
    }
  }

  /**
   * Starts an attempt, or schedules a retry when no target can accept it. Refuses a request that is
   * suspected of crashing targets.
   */
  #attempt(exchange: IdempotentExchange): readonly Effect[] {
    const { call } = exchange;
    if (this.#suspects.isRefused(call.fingerprint)) {
      const detail = 'targets crashed while they ran this request';
      return this.#finish(exchange, notRun(Reason.CrashSuspect, detail));
    }
    const peer = this.#pick(exchange);
    if (peer === undefined) {
      return [this.#scheduleRetry(exchange)];
    }
    const isFirst = !exchange.wasAttempted;
    return [
      ...this.#startAttempt(exchange, peer),
      ...(isFirst ? [setTimer(TimerKind.Hedge, call.exchangeId, HEDGE_DELAY_MS)] : []),
    ];
  }

  #scheduleRetry(exchange: IdempotentExchange): Effect {
    const delayMs = exchange.nextRetryDelayMs(this.runtime.random);
    return setTimer(TimerKind.RetryDelay, exchange.call.exchangeId, delayMs);
  }

  #pick({ call, unavailableTargets }: IdempotentExchange): Peer | undefined {
    return this.#routing.pick({
      service: call.service.name,
      excluded: unavailableTargets,
      fingerprint: call.fingerprint,
    });
  }

  #startAttempt(exchange: IdempotentExchange, peer: Peer): readonly Effect[] {
    const { call, deliveredCount, deliveredText } = exchange;
    const runId = generateId(this.runtime.random);
    exchange.addAttempt(runId, peer);
    this.#exchanges.bindRun(runId, exchange);
    this.#routing.started(peer.processId);
    const message = buildRunMessage(call, {
      runId,
      nowMs: this.runtime.nowMs(),
      crashCount: this.#suspects.crashCount(call.fingerprint),
      deliveredCount,
      ...(deliveredText === '' ? {} : { deliveredText }),
    });
    return [
      log(LogLevel.Info, LogTopic.AttemptStarted, {
        requestId: call.requestId,
        runId,
        targetId: peer.processId,
      }),
      send(peer.linkId, message),
      ...this.#links.retain(peer.linkId),
    ];
  }

  #hedge(exchange: IdempotentExchange): readonly Effect[] {
    const { call, isHeadSent, attempts } = exchange;
    if (isHeadSent || attempts.length !== 1) {
      return [];
    }
    const peer = this.#pick(exchange);
    if (peer === undefined || !this.#admission.takeRetry(call.organisation.organisationId)) {
      return [];
    }
    return this.#startAttempt(exchange, peer);
  }

  #onMessage({ message }: LinkMessageEvent): readonly Effect[] {
    if (!('runId' in message)) {
      return [];
    }
    const exchange = this.#exchanges.byMessage(message);
    const attempt = exchange?.attempt(message.runId);
    if (exchange === undefined || attempt === undefined) {
      return [];
    }
    switch (message.kind) {
      case MessageKind.RunHead:
        return this.#onHead(exchange, attempt, message);
      case MessageKind.RunChunk:
        return this.#onChunk(exchange, attempt, message);
      case MessageKind.RunEnd:
        return message.chunkCount === exchange.deliveredCount
          ? this.#onEnd(exchange)
          : this.#onFailed(exchange, attempt, ANSWER_INCOMPLETE);
      case MessageKind.RunFailed:
        return this.#onFailed(exchange, attempt, message.problem);
      default:
        return [];
    }
  }

  /** The first attempt whose answer begins serves the request; others are cancelled. */
  #onHead(exchange: IdempotentExchange, attempt: Attempt, head: RunHeadMessage): readonly Effect[] {
    const others = exchange.attempts.filter((other) => other !== attempt);
    const cancels = others.flatMap((other) => this.#cancel(exchange, other));
    if (exchange.isHeadSent) {
      return exchange.continuesWith(head)
        ? cancels
        : [
            ...cancels,
            ...this.#sendCancel(attempt),
            ...this.#onFailed(exchange, attempt, ANSWER_NOT_CONTINUED),
          ];
    }
    exchange.markHeadSent(head);
    const { exchangeId, requestId } = exchange.call;
    const { status, contentType } = head;
    return [
      ...cancels,
      { kind: EffectKind.AnswerHead, exchangeId, requestId, status, contentType },
    ];
  }

  #onChunk(
    exchange: IdempotentExchange,
    attempt: Attempt,
    chunk: RunChunkMessage,
  ): readonly Effect[] {
    switch (exchange.acceptChunk(chunk.sequence, chunk.data)) {
      case Delivery.Next: {
        const { exchangeId } = exchange.call;
        return [{ kind: EffectKind.AnswerChunk, exchangeId, data: chunk.data }];
      }
      case Delivery.Gap:
        return [
          ...this.#sendCancel(attempt),
          ...this.#onFailed(exchange, attempt, ANSWER_INCOMPLETE),
        ];
      case Delivery.Repeated:
      default:
        return [];
    }
  }

  #onEnd(exchange: IdempotentExchange): readonly Effect[] {
    this.#suspects.clear(exchange.call.fingerprint);
    return [...answerEnd(exchange.call, this.runtime.nowMs()), ...this.#removeExchange(exchange)];
  }

  #onFailed(exchange: IdempotentExchange, attempt: Attempt, problem: Problem): readonly Effect[] {
    this.#endAttempt(exchange, attempt);
    exchange.recordFailure(attempt, problem);
    const mayHaveRun = problem.outcome !== Outcome.RefusedNotRun;
    const failureLog = log(LogLevel.Info, LogTopic.AttemptFailed, {
      requestId: exchange.call.requestId,
      runId: attempt.runId,
      targetId: attempt.peer.processId,
      outcome: problem.outcome,
      reason: problem.reason,
    });
    if (exchange.attempts.length > 0) {
      return [failureLog];
    }
    return [failureLog, ...this.#retryOrFinish(exchange, problem, mayHaveRun)];
  }

  /**
   * Retries a request without attempts in progress, or answers with the problem. A retry uses the
   * budget only if the last attempt may have run.
   */
  #retryOrFinish(
    exchange: IdempotentExchange,
    problem: Problem,
    mayHaveRun: boolean,
  ): readonly Effect[] {
    const { call } = exchange;
    if (exchange.isHeadSent && !exchange.canContinue) {
      const detail = 'the answer was cut and cannot be continued';
      return this.#finish(exchange, unknown(Reason.StreamCut, detail));
    }
    if (mayHaveRun && !this.#admission.takeRetry(call.organisation.organisationId)) {
      return this.#finish(exchange, problem);
    }
    return this.#attempt(exchange);
  }

  #onLinkClosed(linkId: string): readonly Effect[] {
    return this.#exchanges
      .all()
      .flatMap((exchange) =>
        exchange
          .attemptsOn(linkId)
          .flatMap((attempt) => this.#onFailed(exchange, attempt, LINK_LOST)),
      );
  }

  /** Grants the target credit, in batches, for chunks flushed since the previous event. */
  #onFlushed(exchangeId: string, chunkCount: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    const attempt = exchange?.attempts[0];
    if (exchange === undefined || attempt === undefined) {
      return [];
    }
    const { runId, peer, credit } = attempt;
    const granted = credit.addFlushed(chunkCount);
    return granted === 0
      ? []
      : [send(peer.linkId, { kind: MessageKind.Credit, runId, chunkCount: granted })];
  }

  #onCallerDisconnected(exchangeId: string): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    const nowMs = this.runtime.nowMs();
    return [
      ...this.#cancelAll(exchange),
      logRequestEnded(exchange.call, Outcome.Cancelled, nowMs, Reason.CallerCancelled),
      ...this.#removeExchange(exchange),
    ];
  }

  #onDeadline(exchange: IdempotentExchange): readonly Effect[] {
    const hasAttempts = exchange.attempts.length > 0;
    exchange.recordAttemptsInProgress();
    const lastProblem = exchange.lastProblem ?? NO_TARGET;
    const reason = hasAttempts ? Reason.DeadlinePassed : lastProblem.reason;
    return this.#finish(exchange, notRun(reason, `the deadline passed: ${lastProblem.detail}`));
  }

  /** Answers with a problem; "not run" is reported only if no attempt may have run. */
  #finish(exchange: IdempotentExchange, problem: Problem): readonly Effect[] {
    const reported = exchange.mayHaveRun ? { ...problem, outcome: Outcome.Unknown } : problem;
    return [
      ...this.#cancelAll(exchange),
      ...answerProblem(exchange.call, reported, this.runtime.nowMs()),
      ...this.#removeExchange(exchange),
    ];
  }

  #cancelAll(exchange: IdempotentExchange): readonly Effect[] {
    return exchange.attempts.flatMap((attempt) => this.#cancel(exchange, attempt));
  }

  #cancel(exchange: IdempotentExchange, attempt: Attempt): readonly Effect[] {
    this.#endAttempt(exchange, attempt);
    return this.#sendCancel(attempt);
  }

  #sendCancel({ runId, peer }: Attempt): readonly Effect[] {
    return this.#links.peerOfLink(peer.linkId) === undefined
      ? []
      : [send(peer.linkId, { kind: MessageKind.Cancel, runId })];
  }

  #endAttempt(exchange: IdempotentExchange, attempt: Attempt): void {
    exchange.removeAttempt(attempt);
    this.#exchanges.unbindRun(attempt.runId);
    this.#routing.ended(attempt.peer.processId);
    this.#links.release(attempt.peer.linkId);
  }

  #removeExchange(exchange: IdempotentExchange): readonly Effect[] {
    const { exchangeId } = exchange.call;
    exchange.attempts.forEach((attempt) => this.#endAttempt(exchange, attempt));
    this.#exchanges.remove(exchange);
    return [
      clearTimer(TimerKind.RequestDeadline, exchangeId),
      clearTimer(TimerKind.QueueTimeout, exchangeId),
      clearTimer(TimerKind.RetryDelay, exchangeId),
      clearTimer(TimerKind.Hedge, exchangeId),
      ...this.#startAdmitted(this.#admission.release(exchangeId)),
    ];
  }

  #startAdmitted(exchangeIds: readonly string[]): readonly Effect[] {
    return exchangeIds
      .flatMap((exchangeId) => this.#exchanges.get(exchangeId) ?? [])
      .flatMap((exchange) => [
        clearTimer(TimerKind.QueueTimeout, exchange.call.exchangeId),
        ...this.#attempt(exchange),
      ]);
  }
}

/**
 * Registers the service for idempotent calls.
 *
 * @example
 * idempotentCallsRegistration({ runtime });
 */
export const idempotentCallsRegistration = (
  options: IdempotentCallsOptions,
): Registration<ServiceName.IdempotentCalls> => ({
  name: ServiceName.IdempotentCalls,
  requires: [ServiceName.Admission, ServiceName.Routing, ServiceName.Links, ServiceName.Suspects],
  create: (find) => {
    const service = IdempotentCallsService.create(options, find);
    return createInstance(service.api, {
      handle: (event) => service.handle(event),
      isDrained: () => service.isDrained(),
    });
  },
});
