/**
 * @module Serves non-idempotent calls under keys that a sidecar minted beforehand.
 *
 * A key names one incarnation of one sidecar, and only that incarnation may run it, unless the
 * targets of the service reject duplicate keys themselves. "Not run" is a statement about the key,
 * not about one attempt to send it, so it is reported only when that incarnation confirms it.
 */
import {
  Admission,
  DuplicateCheck,
  EffectKind,
  EventKind,
  MessageKind,
  Outcome,
  Reason,
  ServiceName,
  TimerKind,
  generateId,
  notRun,
  parseKey,
  unknown,
  type Call,
  type Effect,
  type Event,
  type FindService,
  type KeyedCallsApi,
  type LinkMessageEvent,
  type Message,
  type Peer,
  type Problem,
  type Registration,
  type RunChunkMessage,
  type RunHeadMessage,
  type Runtime,
} from '@ebonysill/core';
import { clearTimer, send, setTimer } from '@ebonysill/fleet';
import { createInstance } from '@ebonysill/kernel';
import ExchangeTable from './ExchangeTable.js';
import { answerEnd, answerProblem, logRequestEnded } from './answers.js';
import { KeyedExchange, KeyedPhase } from './keyed-exchange.js';
import { buildRunMessage } from './run-message.js';

/** Time for a sidecar to confirm that a key is void. */
const VOID_TIMEOUT_MS = 1_000;

/** Delay before the targets of a service are asked for a key again, once all were asked. */
const MINT_RETRY_MS = 100;

/** Options of {@link keyedCallsRegistration}. */
export interface KeyedCallsOptions {
  readonly runtime: Runtime;
}

const MALFORMED = notRun(Reason.KeyMalformed, 'this is not an idempotency key of this system');

const KEY_NOT_MINTED = notRun(Reason.NoTarget, 'no target could mint a key in time');

const OVERLOADED = notRun(Reason.Overloaded, 'this process has no room for the request');

const DEADLINE_PASSED = notRun(Reason.DeadlinePassed, 'the deadline passed');

const ISSUER_LOST = unknown(
  Reason.KeyFromLostProcess,
  'the process that minted this key is gone, and its records with it',
);

const ISSUER_UNREACHABLE = unknown(
  Reason.LinkLost,
  'the process that minted this key does not answer',
);

const ANSWER_INCOMPLETE = unknown(Reason.StreamCut, 'part of the answer was lost');

const beginAnswer = (exchange: KeyedExchange, head: RunHeadMessage): readonly Effect[] => {
  if (exchange.isHeadSent) {
    return [];
  }
  exchange.markHeadSent();
  const { exchangeId, requestId } = exchange.call;
  const { status, contentType } = head;
  return [{ kind: EffectKind.AnswerHead, exchangeId, requestId, status, contentType }];
};

class KeyedCallsService {
  readonly #exchanges = ExchangeTable.create<KeyedExchange>();

  readonly #admission;

  readonly #idempotentCalls;

  readonly #routing;

  readonly #links;

  private constructor(
    private readonly runtime: Runtime,
    find: FindService,
  ) {
    this.#admission = find(ServiceName.Admission);
    this.#idempotentCalls = find(ServiceName.IdempotentCalls);
    this.#routing = find(ServiceName.Routing);
    this.#links = find(ServiceName.Links);
  }

  static create(options: KeyedCallsOptions, find: FindService): KeyedCallsService {
    return new KeyedCallsService(options.runtime, find);
  }

  readonly api: KeyedCallsApi = {
    begin: (call) => this.#begin(call),
    mint: (call) => this.#mint(call),
    refuse: (call, problem) => this.#refuse(call, problem),
  };

  handle(event: Event): readonly Effect[] {
    switch (event.kind) {
      case EventKind.LinkMessage:
        return event.message.kind === MessageKind.Hello
          ? this.#onPeerUp(event.message.processId)
          : this.#onMessage(event);
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

  #mint(call: Call): readonly Effect[] {
    const exchange = KeyedExchange.create(call, undefined, KeyedPhase.AwaitingKey);
    this.#exchanges.add(exchange);
    return [this.#deadlineTimer(call), ...this.#requestKey(exchange)];
  }

  #requestKey(exchange: KeyedExchange): readonly Effect[] {
    const { call, askedTargets } = exchange;
    const peer = this.#routing.pick({
      service: call.service.name,
      excluded: askedTargets,
      fingerprint: call.fingerprint,
    });
    if (peer === undefined) {
      return [setTimer(TimerKind.RetryDelay, call.exchangeId, MINT_RETRY_MS)];
    }
    exchange.recordAskedTarget(peer.processId);
    return this.#sendTo(exchange, peer, {
      kind: MessageKind.MintKey,
      runId: this.#startAttempt(exchange),
      organisationId: call.organisation.organisationId,
    });
  }

  /** Admits a call or refuses it; keyed calls are never queued. */
  #begin(call: Call): readonly Effect[] {
    const key = parseKey(call.event.idempotencyKey ?? '');
    if (key === undefined) {
      return answerProblem(call, MALFORMED, this.runtime.nowMs());
    }
    const decision = this.#admission.admit({
      exchangeId: call.exchangeId,
      organisation: call.organisation,
      priority: call.event.priority,
      timeLeftMs: call.deadlineAtMs - this.runtime.nowMs(),
    });
    if (decision.kind === Admission.Admitted) {
      const exchange = KeyedExchange.create(call, key, KeyedPhase.AwaitingLink);
      this.#exchanges.add(exchange);
      return [this.#deadlineTimer(call), ...this.#dispatch(exchange)];
    }
    return [
      ...this.#release(call.exchangeId),
      ...this.#refuse(call, decision.kind === Admission.Refused ? decision.problem : OVERLOADED),
    ];
  }

  #refuse(call: Call, problem: Problem): readonly Effect[] {
    const key = parseKey(call.event.idempotencyKey ?? '');
    if (key === undefined) {
      return answerProblem(call, MALFORMED, this.runtime.nowMs());
    }
    const exchange = KeyedExchange.create(call, key, KeyedPhase.AwaitingVoid);
    this.#exchanges.add(exchange);
    return this.#startVoid(exchange, problem);
  }

  #startVoid(exchange: KeyedExchange, problem: Problem): readonly Effect[] {
    const { exchangeId } = exchange.call;
    exchange.setPhase(KeyedPhase.AwaitingVoid);
    exchange.setRefusal(problem);
    return [
      setTimer(TimerKind.RequestDeadline, exchangeId, VOID_TIMEOUT_MS),
      ...this.#dispatch(exchange),
    ];
  }

  /**
   * Sends the run or the tombstone to the process that minted the key, or opens a link to it and waits
   * for the link.
   */
  #dispatch(exchange: KeyedExchange): readonly Effect[] {
    const { call, key } = exchange;
    if (key === undefined) {
      return [];
    }
    const peer = this.#links.peer(key.targetId);
    if (peer?.incarnation === key.incarnation) {
      return this.#sendKeyed(exchange, peer);
    }
    if (call.service.duplicateCheck === DuplicateCheck.Key) {
      return this.#dispatchToAnyTarget(exchange);
    }
    if (peer !== undefined) {
      return this.#finish(exchange, ISSUER_LOST);
    }
    return this.#links.ensure(key.targetId);
  }

  /** Any target may run the key, because targets of this service reject duplicates themselves. */
  #dispatchToAnyTarget(exchange: KeyedExchange): readonly Effect[] {
    const { service, fingerprint } = exchange.call;
    const peer = this.#routing.pick({ service: service.name, excluded: [], fingerprint });
    return peer === undefined
      ? this.#finish(exchange, ISSUER_UNREACHABLE)
      : this.#sendKeyed(exchange, peer);
  }

  #sendKeyed(exchange: KeyedExchange, peer: Peer): readonly Effect[] {
    const { call, deliveredCount, phase } = exchange;
    const { organisationId } = call.organisation;
    const key = call.event.idempotencyKey ?? '';
    const runId = this.#startAttempt(exchange);
    if (phase === KeyedPhase.AwaitingVoid) {
      const message: Message = { kind: MessageKind.Tombstone, runId, organisationId, key };
      return this.#sendTo(exchange, peer, message);
    }
    exchange.setPhase(KeyedPhase.AwaitingAnswer);
    const nowMs = this.runtime.nowMs();
    const message = buildRunMessage(call, { runId, nowMs, crashCount: 0, deliveredCount, key });
    return this.#sendTo(exchange, peer, message);
  }

  #startAttempt(exchange: KeyedExchange): string {
    this.#exchanges.unbindRun(exchange.runId);
    exchange.startAttempt(generateId(this.runtime.random));
    this.#exchanges.bindRun(exchange.runId, exchange);
    return exchange.runId;
  }

  #sendTo(exchange: KeyedExchange, peer: Peer, message: Message): readonly Effect[] {
    this.#releaseLink(exchange);
    exchange.setLink(peer.linkId);
    return [send(peer.linkId, message), ...this.#links.retain(peer.linkId)];
  }

  #releaseLink(exchange: KeyedExchange): void {
    const linkId = exchange.clearLink();
    if (linkId !== undefined) {
      this.#links.release(linkId);
    }
  }

  #onPeerUp(processId: string): readonly Effect[] {
    return this.#exchanges
      .all()
      .filter(({ key, linkId }) => key?.targetId === processId && linkId === undefined)
      .flatMap((exchange) => this.#dispatch(exchange));
  }

  #onMessage({ message }: LinkMessageEvent): readonly Effect[] {
    if (!('runId' in message)) {
      return [];
    }
    const exchange = this.#exchanges.byMessage(message);
    if (exchange?.runId !== message.runId) {
      return [];
    }
    switch (message.kind) {
      case MessageKind.KeyMinted:
        return this.#onMinted(exchange, message.key);
      case MessageKind.KeyRefused:
        exchange.setRefusal(message.problem);
        return this.#requestKey(exchange);
      case MessageKind.RunHead:
        return beginAnswer(exchange, message);
      case MessageKind.RunChunk:
        return this.#onChunk(exchange, message);
      case MessageKind.RunEnd:
        return message.chunkCount === exchange.deliveredCount
          ? [...answerEnd(exchange.call, this.runtime.nowMs()), ...this.#removeExchange(exchange)]
          : this.#finish(exchange, ANSWER_INCOMPLETE);
      case MessageKind.RunFailed:
        return this.#onFailed(exchange, message.problem);
      default:
        return [];
    }
  }

  #onMinted(exchange: KeyedExchange, idempotencyKey: string): readonly Effect[] {
    const { call } = exchange;
    const { exchangeId, requestId } = call;
    return [
      { kind: EffectKind.AnswerKey, exchangeId, requestId, idempotencyKey },
      logRequestEnded(call, Outcome.Done, this.runtime.nowMs()),
      ...this.#removeExchange(exchange),
    ];
  }

  #onChunk(exchange: KeyedExchange, { sequence, data }: RunChunkMessage): readonly Effect[] {
    if (sequence < exchange.deliveredCount) {
      return [];
    }
    if (sequence > exchange.deliveredCount) {
      return this.#finish(exchange, ANSWER_INCOMPLETE);
    }
    exchange.countDelivered();
    return [{ kind: EffectKind.AnswerChunk, exchangeId: exchange.call.exchangeId, data }];
  }

  #onFailed(exchange: KeyedExchange, problem: Problem): readonly Effect[] {
    const hasNotRun = problem.outcome === Outcome.RefusedNotRun;
    return this.#finish(exchange, hasNotRun ? (exchange.refusal ?? problem) : problem);
  }

  /**
   * A lost link leaves the outcome open, so the same process is asked again; it recognises a key
   * that it has already run.
   */
  #onLinkClosed(linkId: string): readonly Effect[] {
    return this.#exchanges
      .all()
      .filter((exchange) => exchange.linkId === linkId)
      .flatMap((exchange) => {
        exchange.clearLink();
        if (exchange.phase === KeyedPhase.AwaitingKey) {
          return this.#requestKey(exchange);
        }
        if (exchange.phase === KeyedPhase.AwaitingAnswer) {
          exchange.setPhase(KeyedPhase.AwaitingLink);
        }
        return this.#dispatch(exchange);
      });
  }

  #onFlushed(exchangeId: string, chunkCount: number): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange?.linkId === undefined) {
      return [];
    }
    const { runId, linkId } = exchange;
    const granted = exchange.addFlushed(chunkCount);
    return granted === 0
      ? []
      : [send(linkId, { kind: MessageKind.Credit, runId, chunkCount: granted })];
  }

  #onCallerDisconnected(exchangeId: string): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    const { call, linkId, runId } = exchange;
    return [
      ...(linkId === undefined ? [] : [send(linkId, { kind: MessageKind.Cancel, runId })]),
      logRequestEnded(call, Outcome.Unknown, this.runtime.nowMs(), Reason.CallerCancelled),
      ...this.#removeExchange(exchange),
    ];
  }

  #onTimer(timer: TimerKind, exchangeId: string): readonly Effect[] {
    const exchange = this.#exchanges.get(exchangeId);
    if (exchange === undefined) {
      return [];
    }
    switch (timer) {
      case TimerKind.RequestDeadline:
        return this.#onDeadline(exchange);
      case TimerKind.RetryDelay:
        exchange.clearAskedTargets();
        return this.#requestKey(exchange);
      default:
        return [];
    }
  }

  #onDeadline(exchange: KeyedExchange): readonly Effect[] {
    switch (exchange.phase) {
      case KeyedPhase.AwaitingKey:
        return this.#finish(exchange, exchange.refusal ?? KEY_NOT_MINTED);
      case KeyedPhase.AwaitingLink:
      case KeyedPhase.AwaitingAnswer:
        return exchange.isHeadSent
          ? this.#finish(exchange, ANSWER_INCOMPLETE)
          : this.#startVoid(exchange, DEADLINE_PASSED);
      case KeyedPhase.AwaitingVoid:
        return this.#finish(exchange, ISSUER_UNREACHABLE);
      default:
        return exchange.phase satisfies never;
    }
  }

  #finish(exchange: KeyedExchange, problem: Problem): readonly Effect[] {
    return [
      ...answerProblem(exchange.call, problem, this.runtime.nowMs()),
      ...this.#removeExchange(exchange),
    ];
  }

  #removeExchange(exchange: KeyedExchange): readonly Effect[] {
    const { exchangeId } = exchange.call;
    this.#releaseLink(exchange);
    this.#exchanges.unbindRun(exchange.runId);
    this.#exchanges.remove(exchange);
    return [
      clearTimer(TimerKind.RequestDeadline, exchangeId),
      clearTimer(TimerKind.RetryDelay, exchangeId),
      ...this.#release(exchangeId),
    ];
  }

  /** Ends a request for admission; only idempotent calls wait for the place that it leaves. */
  #release(exchangeId: string): readonly Effect[] {
    return this.#idempotentCalls.startAdmitted(this.#admission.release(exchangeId));
  }

  #deadlineTimer(call: Call): Effect {
    const delayMs = call.deadlineAtMs - this.runtime.nowMs();
    return setTimer(TimerKind.RequestDeadline, call.exchangeId, delayMs);
  }
}

/**
 * Registers the service for keyed calls.
 *
 * @example
 * keyedCallsRegistration({ runtime });
 */
export const keyedCallsRegistration = (
  options: KeyedCallsOptions,
): Registration<ServiceName.KeyedCalls> => ({
  name: ServiceName.KeyedCalls,
  requires: [
    ServiceName.Admission,
    ServiceName.Routing,
    ServiceName.Links,
    ServiceName.IdempotentCalls,
  ],
  create: (find) => {
    const service = KeyedCallsService.create(options, find);
    return createInstance(service.api, {
      handle: (event) => service.handle(event),
      isDrained: () => service.isDrained(),
    });
  },
});
